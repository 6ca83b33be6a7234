"""Reduce the remaining time that a hand-over states for its caller."""

from msgspec.structs import replace

from bendwind_core.attempts import HandOver
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds


def deduct_time(hand_over: HandOver, elapsed: Seconds) -> HandOver:
    """Return a hand-over with the time deducted that has passed since it was stated."""
    passed_ms = elapsed * MILLISECONDS_PER_SECOND
    return replace(
        hand_over,
        remaining_ms=hand_over.remaining_ms - passed_ms,
        target_ms=_deduct_from(hand_over.target_ms, passed_ms),
        entry_left_ms=_deduct_from(hand_over.entry_left_ms, passed_ms),
    )


def _deduct_from(left_ms: Milliseconds | None, passed_ms: Milliseconds) -> Milliseconds | None:
    return None if left_ms is None else max(0.0, left_ms - passed_ms)
