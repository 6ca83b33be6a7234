"""Find the attempts that would still run when a planned stop ends."""

import math

from bendwind_core.attempts.admission import estimate_completion_ms
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds


def would_outlast_process(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether an attempt that starts now would probably be broken off by a planned stop.

    Either this process stops, or that of its entry node.
    """
    return now >= find_last_start(owner_state, queued, now)


def find_last_start(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Seconds:
    """Return from when an attempt would be broken off by a planned stop, infinite if never."""
    ends_at = min(owner_state.ends_at, queued.entry_ends_at)
    if queued.expires_at <= ends_at:
        return math.inf
    return ends_at - _estimate_run_time(owner_state, queued, now)


def has_ending_process(owner_state: OwnerState) -> bool:
    """Return whether this process stops, or maybe the entry node of a waiting attempt."""
    has_ending_entry = owner_state.has_ending_entries and bool(owner_state.waiting)
    return has_ending_entry or math.isfinite(owner_state.ends_at)


def next_outlasting(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the next waiting attempt can no longer end before a planned stop, or None."""
    if not has_ending_process(owner_state):
        return None
    last_start = min(
        (find_last_start(owner_state, queued, now) for queued in owner_state.waiting.values()),
        default=math.inf,
    )
    return last_start if math.isfinite(last_start) else None


def set_entry_end(
    owner_state: OwnerState, queued: QueuedAttempt, left_ms: Milliseconds, now: Seconds
) -> None:
    """Set the time left until the entry node of a waiting attempt gives up its calls.

    The attempt has to start a usual time earlier than would do on average, since half of the runs
    take longer.
    """
    entry_ends_at = now + left_ms / MILLISECONDS_PER_SECOND
    entry_ends_at -= _estimate_run_time(owner_state, queued, now)
    queued.entry_ends_at = min(queued.entry_ends_at, entry_ends_at)
    owner_state.has_ending_entries = True


def should_end_in_time(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether an attempt, whose usual time must be known, can end before a planned stop."""
    is_known = _estimate_run_time(owner_state, queued, now) > 0.0
    return is_known and not would_outlast_process(owner_state, queued, now)


def _estimate_run_time(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Seconds:
    expected_ms = estimate_completion_ms(owner_state, queued.hand_over.route, now)
    return expected_ms / MILLISECONDS_PER_SECOND
