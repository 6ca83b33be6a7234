"""Find the attempts that would still run when a planned stop ends."""

from bendwind_core.attempts.admission import estimate_completion_ms
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds


def would_outlast_process(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether an attempt that starts now would probably be broken off by a planned stop.

    Either this process stops, or that of its entry node.
    """
    ends_at = min(owner_state.ends_at, queued.entry_ends_at)
    if queued.expires_at <= ends_at:
        return False
    expected_ms = estimate_completion_ms(owner_state, queued.hand_over.route, now)
    return now + expected_ms / MILLISECONDS_PER_SECOND > ends_at
