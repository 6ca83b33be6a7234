"""Decide what happens to each attempt at the owner node, the only node that sends to an upstream.

Only the owner knows which attempts were started. Therefore only the owner replies that an attempt
did not run, and in the same step it records that this attempt never starts.
"""

import math
from collections.abc import Callable

from bendwind_core.admission import (
    assume_cold,
    configure_warm_up,
    consume_token,
    record_cold_announcement,
    record_cold_reply,
    record_named_limit,
    record_no_limit,
    record_refused_call,
)
from bendwind_core.attempts.admission import (
    is_delayed_by_next_slow_phase,
    next_recheck,
    pop_startable,
    query_load_if_held,
)
from bendwind_core.attempts.attempt_log import ExecutionState
from bendwind_core.attempts.cold_upstream import next_warm_up_query, watch_cold_upstream
from bendwind_core.attempts.dispatch_results import (
    handle_answer_head,
    handle_dispatch_not_run,
    handle_dispatch_unknown,
    is_failure,
)
from bendwind_core.attempts.fencing import (
    cancel_running,
    handle_fence,
    handle_link_lost,
    handle_link_opened,
)
from bendwind_core.attempts.hand_overs import find_early_refusal, handle_hand_over
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.outlasting import (
    has_ending_process,
    next_outlasting,
    would_outlast_process,
)
from bendwind_core.attempts.owner_events import (
    CancelArrived,
    DispatchDone,
    DispatchHead,
    DispatchNotRun,
    DispatchSent,
    DispatchUnknown,
    Drain,
    Drained,
    FenceArrived,
    HandOverArrived,
    LeavingReported,
    LinkLost,
    LinkOpened,
    LoadNotReported,
    LoadReported,
    OwnerEffect,
    OwnerEvent,
    QueueWithdrawn,
    RateLimitNotReported,
    RateLimitReported,
    StopRequested,
    Tick,
    UpstreamAnnounced,
    UpstreamAssumedCold,
    UpstreamCallRefused,
    UpstreamChecked,
    UpstreamLost,
    UpstreamQueried,
    UpstreamReachable,
    UpstreamRestarted,
    WarmUpConfigured,
    WarmUpNotReported,
    WarmUpReported,
)
from bendwind_core.attempts.owner_state import (
    OwnerState,
    QueuedAttempt,
    create_owner_state,
    is_accepting,
)
from bendwind_core.attempts.pace import is_slow, record_report
from bendwind_core.attempts.precedence import find_slot_limit
from bendwind_core.attempts.refusals import (
    find_expiry,
    next_expiry,
    refuse_all_waiting,
    refuse_waiting,
    remove_from_queue,
)
from bendwind_core.attempts.running_attempts import (
    end_attempt,
    handle_sent,
    mark_sent,
    may_send_again,
    start_attempt,
)
from bendwind_core.attempts.service_time import record_result
from bendwind_core.attempts.slots import has_capacity, load_sample, next_permitted_send
from bendwind_core.attempts.suspects import is_now_quarantined, record_success
from bendwind_core.attempts.upstream_end import record_liveness
from bendwind_core.attempts.upstream_lifecycle import (
    handle_announcement,
    handle_drain,
    handle_leaving,
    handle_upstream_check,
    handle_upstream_lost,
    handle_upstream_restart,
)
from bendwind_core.attempts.upstream_limit import apply_limit_change, resolve_refusal_reason
from bendwind_core.core import Seconds
from bendwind_core.limits import fair_queue
from bendwind_core.world import UpstreamState

__all__ = [
    "OwnerState",
    "create_owner_state",
    "find_early_refusal",
    "load_sample",
    "may_send_again",
    "next_due",
    "step",
]


def next_due(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the next Tick is due, or None if no Tick is needed."""
    due_times = (
        next_expiry(owner_state),
        next_recheck(owner_state, now),
        next_permitted_send(owner_state, now),
        next_warm_up_query(owner_state, now),
        next_outlasting(owner_state, now),
    )
    return min((due for due in due_times if due is not None), default=None)


def step(owner_state: OwnerState, event: OwnerEvent, now: Seconds) -> list[OwnerEffect]:
    """Apply an event to the owner and return the effects to carry out, in order."""
    effects: list[OwnerEffect] = []
    match event:
        case HandOverArrived():
            handle_hand_over(owner_state, event, now, effects)
        case DispatchSent():
            handle_sent(owner_state, event.attempt, now)
        case DispatchHead():
            mark_sent(owner_state, event.attempt, now)
            handle_answer_head(owner_state, event, now)
            record_result(owner_state.service_times, is_error=is_failure(event.status))
        case DispatchDone():
            owner_state.last_progress_at = now
            running = end_attempt(owner_state, event.attempt, ExecutionState.ENDED)
            if running is not None and not is_failure(running.status):
                record_success(owner_state, running, now)
        case UpstreamCallRefused():
            record_refused_call(owner_state.dependency_overload, now)
        case LoadReported(slow_factor=slow_factor):
            record_report(owner_state.pace, slow_factor, now)
            record_liveness(owner_state.end_detector, now)
        case LoadNotReported(has_load_endpoint=has_load_endpoint):
            owner_state.has_load_endpoint = has_load_endpoint
        case RateLimitReported(per_second=per_second, sent_at=sent_at):
            change = record_named_limit(owner_state.rate_limit, per_second, sent_at, now)
            apply_limit_change(owner_state, change, now, effects)
        case RateLimitNotReported(sent_at=sent_at):
            change = record_no_limit(owner_state.rate_limit, sent_at, now)
            apply_limit_change(owner_state, change, now, effects)
        case LeavingReported():
            handle_leaving(owner_state, now, effects)
        case UpstreamQueried():
            consume_token(owner_state.rate_limit, now)
        case WarmUpConfigured(rule=rule, is_known=is_known, is_queryable=is_queryable):
            configure_warm_up(
                owner_state.warm_up, rule, now, is_known=is_known, is_queryable=is_queryable
            )
        case UpstreamAssumedCold():
            assume_cold(owner_state.warm_up, now)
        case WarmUpReported(remaining_ms=remaining_ms, queried_at=None):
            record_cold_announcement(owner_state.warm_up, remaining_ms, now)
        case WarmUpReported(remaining_ms=remaining_ms, queried_at=queried_at):
            record_cold_reply(owner_state.warm_up, remaining_ms, queried_at, now)
        case WarmUpNotReported():
            pass
        case UpstreamChecked(is_refused=is_refused):
            handle_upstream_check(owner_state, now, effects, is_refused=is_refused)
        case UpstreamReachable():
            owner_state.is_unreachable = False
        case UpstreamRestarted():
            handle_upstream_restart(owner_state, now, effects)
        case QueueWithdrawn():
            refuse_all_waiting(owner_state, NotRunReason.DRAINING, now, effects)
        case DispatchNotRun():
            handle_dispatch_not_run(owner_state, event, now, effects)
        case DispatchUnknown():
            handle_dispatch_unknown(owner_state, event, now, effects)
        case CancelArrived():
            _handle_cancel(owner_state, event, now, effects)
        case FenceArrived():
            handle_fence(owner_state, event.fence, event.epoch, now, effects)
        case LinkOpened():
            handle_link_opened(owner_state, event, effects)
        case LinkLost():
            handle_link_lost(owner_state, event, effects)
        case StopRequested(ends_at=ends_at):
            owner_state.ends_at = ends_at
        case Drain():
            handle_drain(owner_state, now)
        case UpstreamAnnounced():
            handle_announcement(owner_state, event, now, effects)
        case UpstreamLost(is_replaced=is_replaced):
            handle_upstream_lost(owner_state, now, effects, is_replaced=is_replaced)
        case Tick():
            pass
    _expire_queue(owner_state, now, effects)
    if has_ending_process(owner_state):
        _refuse_matching(owner_state, would_outlast_process, NotRunReason.DRAINING, now, effects)
    _refuse_matching(owner_state, _cannot_start_immediately, NotRunReason.BUSY, now, effects)
    _refuse_matching(owner_state, is_delayed_by_next_slow_phase, NotRunReason.STALLED, now, effects)
    _dispatch_waiting(owner_state, now, effects)
    _refuse_matching(owner_state, _is_past_refusal_time, NotRunReason.QUEUE_FULL, now, effects)
    # A refused attempt may have kept an inner call from a slot above the share that is used.
    _dispatch_waiting(owner_state, now, effects)
    owner_state.has_ending_entries = owner_state.has_ending_entries and bool(owner_state.waiting)
    query_load_if_held(owner_state, now, effects)
    if owner_state.warm_up.limit is not None:
        watch_cold_upstream(owner_state, now, effects)
    _report_drained(owner_state, effects)
    return effects


def _handle_cancel(
    owner_state: OwnerState, event: CancelArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = event.attempt
    queued = owner_state.waiting.get(attempt)
    if queued is not None:
        remove_from_queue(owner_state, queued)
        refuse_waiting(owner_state, queued, NotRunReason.CANCELLED, now, effects)
        return
    cancel_running(owner_state, attempt, effects)


def _is_refused_by_drain(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether a draining owner refuses an attempt.

    An entry node that stops together with this process sends its calls nowhere else. They stay as
    long as the upstream itself serves on.
    """
    stays_in_use = owner_state.is_stopping and owner_state.state is UpstreamState.READY
    return not stays_in_use or math.isinf(queued.entry_ends_at)


def _expire_queue(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    if not owner_state.waiting:
        return
    if owner_state.refuse_queue_at is not None and now >= owner_state.refuse_queue_at:
        owner_state.refuse_queue_at = None
        _refuse_matching(owner_state, _is_refused_by_drain, NotRunReason.DRAINING, now, effects)
    for queued in list(owner_state.waiting.values()):
        if now >= queued.expires_at:
            remove_from_queue(owner_state, queued)
            refuse_waiting(owner_state, queued, NotRunReason.DEADLINE, now, effects)


def _cannot_start_immediately(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether an attempt that may not wait cannot start, by the newest reports."""
    if queued.hand_over.may_wait:
        return False
    return is_slow(owner_state.pace, now) or not has_capacity(
        owner_state, now, find_slot_limit(owner_state, queued, now)
    )


def _is_past_refusal_time(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    return now >= find_expiry(queued)


def _refuse_matching(
    owner_state: OwnerState,
    should_refuse: Callable[[OwnerState, QueuedAttempt, Seconds], bool],
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    """Refuse attempts that would be late here while another upstream can still be tried."""
    for queued in list(owner_state.waiting.values()):
        if should_refuse(owner_state, queued, now):
            remove_from_queue(owner_state, queued)
            reported_reason = resolve_refusal_reason(owner_state, reason, now)
            refuse_waiting(owner_state, queued, reported_reason, now, effects)


def _dispatch_waiting(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    while (queued := _pop_next(owner_state, now)) is not None:
        if is_now_quarantined(owner_state, queued, now):
            # Other upstreams ended while they ran this request, after it had been queued here.
            refuse_waiting(owner_state, queued, NotRunReason.QUARANTINED, now, effects)
            continue
        if would_outlast_process(owner_state, queued, now):
            refuse_waiting(owner_state, queued, NotRunReason.DRAINING, now, effects)
            continue
        del owner_state.waiting[queued.hand_over.attempt]
        start_attempt(owner_state, queued, now, effects)


def _pop_next(owner_state: OwnerState, now: Seconds) -> QueuedAttempt | None:
    queued = pop_startable(owner_state, now) if len(owner_state.timed_queue) else None
    if queued is None and has_capacity(owner_state, now):
        return fair_queue.pop(owner_state.queue)
    return queued


def _report_drained(owner_state: OwnerState, effects: list[OwnerEffect]) -> None:
    is_idle = not owner_state.running and not owner_state.waiting
    if not is_accepting(owner_state) and is_idle and not owner_state.is_drained:
        owner_state.is_drained = True
        effects.append(Drained())
