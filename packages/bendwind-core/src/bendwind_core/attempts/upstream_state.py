"""Follow what becomes of an owner's upstream: announced, unreachable, ended, restarted, gone."""

from bendwind_core.admission import assume_cold, reset_rate_limit
from bendwind_core.attempts.fencing import cancel_running
from bendwind_core.attempts.limits import take_change
from bendwind_core.attempts.messages import CutReason, NotRunReason
from bendwind_core.attempts.owner_events import (
    OwnerEffect,
    UpstreamAnnounced,
    UpstreamUnreachable,
)
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.pace import Pace
from bendwind_core.attempts.refusals import bounce_queue
from bendwind_core.attempts.suspects import note_upstream_end
from bendwind_core.attempts.upstream_end import note_unanswered
from bendwind_core.core import Seconds
from bendwind_core.world import UpstreamState

# A leaving upstream gets nothing new after this, not even what was queued before.
DRAIN_QUEUE_WAIT: Seconds = 1.0


def take_announcement(
    owner_state: OwnerState, event: UpstreamAnnounced, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Take over what the upstream says of its capacity and state."""
    owner_state.slots = event.slots
    owner_state.connections = event.connections
    owner_state.state = event.state
    match event.state:
        case UpstreamState.GONE:
            bounce_queue(owner_state, NotRunReason.NO_UPSTREAM, now, effects)
        case UpstreamState.DRAINING:
            _start_draining(owner_state, now)
        case UpstreamState.READY if not owner_state.is_stopping:
            owner_state.bounce_queue_at = None
            owner_state.is_drained = False


def stop(owner_state: OwnerState, now: Seconds) -> None:
    """Refuse new attempts for good."""
    if not owner_state.is_stopping:
        owner_state.is_stopping = True
        owner_state.is_drained = False
        _start_draining(owner_state, now)


def _start_draining(owner_state: OwnerState, now: Seconds) -> None:
    if owner_state.bounce_queue_at is None:
        owner_state.bounce_queue_at = now + DRAIN_QUEUE_WAIT


def hear_leaving(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Take nothing more for the present run of an upstream, and give back what waits."""
    owner_state.is_leaving = True
    owner_state.is_drained = False
    bounce_queue(owner_state, NotRunReason.DRAINING, now, effects)


def hold_down(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Take nothing more for an upstream that refuses connections, and give back what waits.

    Its attempts fail within a millisecond, so that it seems idle and draws the next ones: 483 of
    them in one second after a loss of power.
    """
    if not owner_state.is_unreachable:
        owner_state.is_unreachable = True
        effects.append(UpstreamUnreachable())
    bounce_queue(owner_state, NotRunReason.NO_UPSTREAM, now, effects)


def take_check(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect], *, is_refused: bool
) -> None:
    """Hear whether the upstream still takes connections after it broke one off."""
    owner_state.ends.is_checked = False
    if is_refused and owner_state.state is not UpstreamState.GONE:
        hold_down(owner_state, now, effects)
        note_upstream_end(owner_state, now, effects)


def restart(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Turn to another run of the upstream, which knows nothing of the one before."""
    owner_state.is_unreachable = False
    owner_state.pace = Pace()
    take_change(owner_state, reset_rate_limit(owner_state.rate_limit), now, effects)
    owner_state.is_leaving = False
    assume_cold(owner_state.warm_up, now)
    _give_up_running(owner_state, now, effects)


def lose(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect], *, is_replaced: bool
) -> None:
    """Hear that the upstream is gone; `is_replaced` if another one stands in its place."""
    if is_replaced:
        _give_up_running(owner_state, now, effects)
    owner_state.state = UpstreamState.GONE
    owner_state.is_unreachable = False
    bounce_queue(owner_state, NotRunReason.NO_UPSTREAM, now, effects)


def _give_up_running(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Cancel what ran at an upstream in whose place another run stands."""
    for attempt, running in list(owner_state.running.items()):
        note_unanswered(owner_state.ends, running.hand_over, CutReason.UPSTREAM_RESET, now)
        running.is_under_end = True
        cancel_running(owner_state, attempt, effects)
    note_upstream_end(owner_state, now, effects)
