"""Reduce the remaining time that a hand-over states for its caller."""

from msgspec.structs import replace

from bendwind_core.attempts import HandOver
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds


def deduct_time(hand_over: HandOver, elapsed: Seconds) -> HandOver:
    """Return a hand-over with the time deducted that has passed since it was stated."""
    passed_ms = elapsed * MILLISECONDS_PER_SECOND
    target_ms = hand_over.target_ms
    return replace(
        hand_over,
        remaining_ms=hand_over.remaining_ms - passed_ms,
        target_ms=None if target_ms is None else max(0.0, target_ms - passed_ms),
    )
