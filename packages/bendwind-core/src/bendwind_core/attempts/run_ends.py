"""Take notice of how an attempt that was started went."""

from bendwind_core.admission import record_run_end
from bendwind_core.attempts.attempt_log import Fate
from bendwind_core.attempts.messages import CutReason, NotRunReason
from bendwind_core.attempts.owner_events import (
    CheckUpstream,
    DispatchHead,
    DispatchNotRun,
    DispatchUnknown,
    OwnerEffect,
    ReplyUnknown,
)
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.refusals import refuse
from bendwind_core.attempts.runs import end_running, mark_sent
from bendwind_core.attempts.service_time import note_result, note_time
from bendwind_core.attempts.slots import load_sample
from bendwind_core.attempts.suspects import note_upstream_end
from bendwind_core.attempts.upstream_end import note_alive, note_reset, note_unanswered
from bendwind_core.attempts.upstream_state import hold_down
from bendwind_core.attempts.usual_times import note_route_time
from bendwind_core.core import Seconds

_FAILED_STATUS = 500


def is_failure(status: int) -> bool:
    """Tell whether an answer's status says that the upstream failed."""
    return status >= _FAILED_STATUS


def take_head(owner_state: OwnerState, event: DispatchHead, now: Seconds) -> None:
    """Take notice of the head of an answer."""
    note_alive(owner_state.ends, now)
    # Health may be good while every request is reset: only an answer to one counts.
    owner_state.ends.resets = 0
    note_time(owner_state.times, event.upstream_ms)
    running = owner_state.running.get(event.attempt)
    if running is None:
        return
    running.status = event.status
    if not running.route:
        return
    is_error = is_failure(event.status)
    record_run_end(
        owner_state.dependency,
        running.route,
        running.started_at,
        now,
        is_error=is_error,
    )
    if not is_error:
        note_route_time(owner_state, running, event.upstream_ms)


def take_not_run(
    owner_state: OwnerState, event: DispatchNotRun, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Hear that a started attempt did not run after all."""
    if event.reason is not NotRunReason.CONNECT_FAILED:
        mark_sent(owner_state, event.attempt, now)
    running = end_running(owner_state, event.attempt, Fate.NEVER_STARTED)
    if running is not None:
        note_result(owner_state.times, is_error=True)
        if event.reason is NotRunReason.CONNECT_FAILED:
            hold_down(owner_state, now, effects)
            if not event.is_timed_out:
                note_upstream_end(owner_state, now, effects)
        refuse(owner_state, event.attempt, running.epoch, event.reason, now, effects)


def take_unknown(
    owner_state: OwnerState, event: DispatchUnknown, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Hear that nobody knows how a started attempt went."""
    mark_sent(owner_state, event.attempt, now)
    running = end_running(owner_state, event.attempt, Fate.ENDED)
    if running is None:
        return
    if event.reason is not CutReason.CANCELLED:
        note_result(owner_state.times, is_error=True)
    if not running.is_under_end:
        note_unanswered(owner_state.ends, running.hand_over, event.reason, now)
    is_reset = event.reason is CutReason.UPSTREAM_RESET
    if now < owner_state.ends.settles_at:
        note_upstream_end(owner_state, now, effects)
    elif is_reset and note_reset(owner_state.ends, running.started_at, now):
        hold_down(owner_state, now, effects)
    elif is_reset and not owner_state.ends.is_checked:
        owner_state.ends.is_checked = True
        effects.append(CheckUpstream())
    sample = load_sample(owner_state, now)
    effects.append(ReplyUnknown(event.attempt, running.epoch, event.reason, sample))
