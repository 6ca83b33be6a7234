"""Track the state of an owner's upstream: announced, unreachable, ended, restarted or gone."""

from bendwind_core.admission import assume_cold, reset_rate_limit
from bendwind_core.attempts.fencing import cancel_running
from bendwind_core.attempts.messages import CutReason, NotRunReason
from bendwind_core.attempts.owner_events import (
    OwnerEffect,
    UpstreamAnnounced,
    UpstreamUnreachable,
)
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.pace import Pace
from bendwind_core.attempts.refusals import refuse_all_waiting
from bendwind_core.attempts.suspects import record_upstream_end
from bendwind_core.attempts.upstream_end import record_unanswered
from bendwind_core.attempts.upstream_limit import apply_limit_change
from bendwind_core.core import Seconds
from bendwind_core.world import UpstreamState

# After this time a draining upstream gets no more attempts, not even those queued before.
DRAIN_QUEUE_TIMEOUT: Seconds = 1.0


def handle_announcement(
    owner_state: OwnerState, event: UpstreamAnnounced, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Apply the capacity and state that the upstream announced."""
    owner_state.slots = event.slots
    owner_state.connections = event.connections
    owner_state.state = event.state
    match event.state:
        case UpstreamState.GONE:
            refuse_all_waiting(owner_state, NotRunReason.NO_UPSTREAM, now, effects)
        case UpstreamState.DRAINING:
            _start_draining(owner_state, now)
        case UpstreamState.READY if not owner_state.is_stopping:
            owner_state.refuse_queue_at = None
            owner_state.is_drained = False


def handle_drain(owner_state: OwnerState, now: Seconds) -> None:
    """Refuse new attempts permanently."""
    if not owner_state.is_stopping:
        owner_state.is_stopping = True
        owner_state.is_drained = False
        _start_draining(owner_state, now)


def _start_draining(owner_state: OwnerState, now: Seconds) -> None:
    if owner_state.refuse_queue_at is None:
        owner_state.refuse_queue_at = now + DRAIN_QUEUE_TIMEOUT


def handle_leaving(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Refuse new and waiting attempts for the present run of an upstream that leaves."""
    owner_state.is_leaving = True
    owner_state.is_drained = False
    refuse_all_waiting(owner_state, NotRunReason.DRAINING, now, effects)


def mark_unreachable(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Refuse new and waiting attempts for an upstream that refuses connections.

    Its attempts fail within a millisecond, so that it seems idle and attracts the next attempts:
    483 of them in one second after a power loss.
    """
    if not owner_state.is_unreachable:
        owner_state.is_unreachable = True
        effects.append(UpstreamUnreachable())
    refuse_all_waiting(owner_state, NotRunReason.NO_UPSTREAM, now, effects)


def handle_upstream_check(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect], *, is_refused: bool
) -> None:
    """Handle the check of whether the upstream accepts connections after it broke one."""
    owner_state.end_detector.is_check_pending = False
    if is_refused and owner_state.state is not UpstreamState.GONE:
        mark_unreachable(owner_state, now, effects)
        record_upstream_end(owner_state, now, effects)
    elif not is_refused and not owner_state.warm_up.is_queryable:
        # It may have restarted unheard, and its connections were reset when it came back. One that
        # can be queried has to prove anyway that it is warm.
        assume_cold(owner_state.warm_up, now)


def handle_upstream_restart(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Reset what is known of the upstream's previous run and cancel its running attempts."""
    owner_state.is_unreachable = False
    owner_state.pace = Pace()
    apply_limit_change(owner_state, reset_rate_limit(owner_state.rate_limit), now, effects)
    owner_state.is_leaving = False
    assume_cold(owner_state.warm_up, now)
    _cancel_running_attempts(owner_state, now, effects)


def handle_upstream_lost(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect], *, is_replaced: bool
) -> None:
    """Handle the loss of the upstream; `is_replaced` if another one has taken its place."""
    if is_replaced:
        _cancel_running_attempts(owner_state, now, effects)
    owner_state.state = UpstreamState.GONE
    owner_state.is_unreachable = False
    refuse_all_waiting(owner_state, NotRunReason.NO_UPSTREAM, now, effects)


def _cancel_running_attempts(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Cancel the attempts of an upstream's run that was replaced by another."""
    for attempt, running in list(owner_state.running.items()):
        record_unanswered(
            owner_state.end_detector, running.hand_over, CutReason.UPSTREAM_RESET, now
        )
        running.is_upstream_ended = True
        cancel_running(owner_state, attempt, effects)
    record_upstream_end(owner_state, now, effects)
