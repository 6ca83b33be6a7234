"""Follow what becomes of a desk's upstream: announced, unreachable, ended, restarted, gone."""

from bendwind_core.admission import assume_cold
from bendwind_core.attempts.desk import OwnerDesk
from bendwind_core.attempts.fencing import cancel_running
from bendwind_core.attempts.messages import CutReason, NotRunReason
from bendwind_core.attempts.owner_events import (
    OwnerEffect,
    UpstreamAnnounced,
    UpstreamUnreachable,
)
from bendwind_core.attempts.pace import Pace
from bendwind_core.attempts.refusals import bounce_queue
from bendwind_core.attempts.suspects import note_upstream_end
from bendwind_core.attempts.upstream_end import note_unanswered
from bendwind_core.core import Seconds
from bendwind_core.world import UpstreamState

# A leaving upstream gets nothing new after this, not even what was queued before.
DRAIN_QUEUE_WAIT: Seconds = 1.0


def take_announcement(
    desk: OwnerDesk, event: UpstreamAnnounced, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Take over what the upstream says of its capacity and state."""
    desk.slots = event.slots
    desk.connections = event.connections
    desk.state = event.state
    match event.state:
        case UpstreamState.GONE:
            bounce_queue(desk, NotRunReason.NO_UPSTREAM, now, effects)
        case UpstreamState.DRAINING:
            _start_draining(desk, now)
        case UpstreamState.READY if not desk.is_stopping:
            desk.bounce_queue_at = None
            desk.is_drained = False


def stop(desk: OwnerDesk, now: Seconds) -> None:
    """Refuse new attempts for good."""
    if not desk.is_stopping:
        desk.is_stopping = True
        desk.is_drained = False
        _start_draining(desk, now)


def _start_draining(desk: OwnerDesk, now: Seconds) -> None:
    if desk.bounce_queue_at is None:
        desk.bounce_queue_at = now + DRAIN_QUEUE_WAIT


def hold_down(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Take nothing more for an upstream that refuses connections, and give back what waits.

    Its attempts fail within a millisecond, so that it seems idle and draws the next ones: 483 of
    them in one second after a loss of power.
    """
    if not desk.is_unreachable:
        desk.is_unreachable = True
        effects.append(UpstreamUnreachable())
    bounce_queue(desk, NotRunReason.NO_UPSTREAM, now, effects)


def take_check(
    desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect], *, is_refused: bool
) -> None:
    """Hear whether the upstream still takes connections after it broke one off."""
    desk.ends.is_checked = False
    if is_refused and desk.state is not UpstreamState.GONE:
        hold_down(desk, now, effects)
        note_upstream_end(desk, now, effects)


def restart(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Turn to another run of the upstream, which knows nothing of the one before."""
    desk.is_unreachable = False
    desk.pace = Pace()
    assume_cold(desk.warm_up, now)
    _give_up_running(desk, now, effects)


def lose(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect], *, is_replaced: bool) -> None:
    """Hear that the upstream is gone; `is_replaced` if another one stands in its place."""
    if is_replaced:
        _give_up_running(desk, now, effects)
    desk.state = UpstreamState.GONE
    desk.is_unreachable = False
    bounce_queue(desk, NotRunReason.NO_UPSTREAM, now, effects)


def _give_up_running(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Cancel what ran at an upstream in whose place another run stands."""
    for attempt, running in list(desk.running.items()):
        note_unanswered(desk.ends, running.hand_over, CutReason.UPSTREAM_RESET, now)
        running.is_under_end = True
        cancel_running(desk, attempt, effects)
    note_upstream_end(desk, now, effects)
