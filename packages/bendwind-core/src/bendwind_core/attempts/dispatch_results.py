"""Handle the result of an attempt that was started."""

from bendwind_core.admission import record_run_end
from bendwind_core.attempts.attempt_log import ExecutionState
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
from bendwind_core.attempts.running_attempts import end_attempt, mark_sent
from bendwind_core.attempts.service_time import record_result, record_time
from bendwind_core.attempts.slots import load_sample
from bendwind_core.attempts.suspects import record_upstream_end
from bendwind_core.attempts.upstream_end import record_liveness, record_reset, record_unanswered
from bendwind_core.attempts.upstream_lifecycle import mark_unreachable
from bendwind_core.attempts.usual_times import record_route_time
from bendwind_core.core import Seconds

_FAILED_STATUS = 500


def is_failure(status: int) -> bool:
    """Return whether an answer's status reports a failure of the upstream."""
    return status >= _FAILED_STATUS


def handle_answer_head(owner_state: OwnerState, event: DispatchHead, now: Seconds) -> None:
    """Handle the head of an answer."""
    record_liveness(owner_state.end_detector, now)
    # Only an answer to a request ends a series of resets: health checks may succeed while the
    # upstream resets every request.
    owner_state.end_detector.consecutive_resets = 0
    record_time(owner_state.service_times, event.upstream_ms)
    running = owner_state.running.get(event.attempt)
    if running is None:
        return
    running.status = event.status
    if not running.route:
        return
    is_error = is_failure(event.status)
    record_run_end(
        owner_state.dependency_overload,
        running.route,
        running.started_at,
        now,
        is_error=is_error,
    )
    if not is_error:
        record_route_time(owner_state, running, event.upstream_ms)


def handle_dispatch_not_run(
    owner_state: OwnerState, event: DispatchNotRun, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Handle the proof that a started attempt did not run."""
    if event.reason is not NotRunReason.CONNECT_FAILED:
        mark_sent(owner_state, event.attempt, now)
    running = end_attempt(owner_state, event.attempt, ExecutionState.NEVER_STARTED)
    if running is not None:
        record_result(owner_state.service_times, is_error=True)
        if event.reason is NotRunReason.CONNECT_FAILED:
            mark_unreachable(owner_state, now, effects)
            if not event.is_timed_out:
                record_upstream_end(owner_state, now, effects)
        refuse(
            owner_state,
            event.attempt,
            running.epoch,
            event.reason,
            now,
            effects,
            is_sent_again=running.is_sent_again,
        )


def handle_dispatch_unknown(
    owner_state: OwnerState, event: DispatchUnknown, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Handle a started attempt whose result is unknown."""
    mark_sent(owner_state, event.attempt, now)
    running = end_attempt(owner_state, event.attempt, ExecutionState.ENDED)
    if running is None:
        return
    if event.reason is not CutReason.CANCELLED:
        record_result(owner_state.service_times, is_error=True)
    if not running.is_upstream_ended:
        record_unanswered(owner_state.end_detector, running.hand_over, event.reason, now)
    is_reset = event.reason is CutReason.UPSTREAM_RESET
    if now < owner_state.end_detector.end_settles_at:
        record_upstream_end(owner_state, now, effects)
    elif is_reset and record_reset(owner_state.end_detector, running.started_at, now):
        mark_unreachable(owner_state, now, effects)
    elif is_reset and not owner_state.end_detector.is_check_pending:
        owner_state.end_detector.is_check_pending = True
        effects.append(CheckUpstream())
    sample = load_sample(owner_state, now)
    effects.append(
        ReplyUnknown(event.attempt, running.epoch, event.reason, sample, running.is_sent_again)
    )
