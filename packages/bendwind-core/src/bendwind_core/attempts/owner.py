"""Decide, at the one node that sends to an upstream, what happens to each attempt.

The owner alone knows which attempts were started, so it alone says "not run", and only of an
attempt that it marks, in the same step, as one that never starts.
"""

from collections.abc import Callable

from bendwind_core.admission import (
    assume_cold,
    consume_token,
    record_cold_announcement,
    record_cold_reply,
    record_named_limit,
    record_no_limit,
    record_refused_call,
)
from bendwind_core.attempts.admission import (
    ask_if_held,
    is_stalled_again,
    next_look,
    take_startable,
)
from bendwind_core.attempts.arrivals import find_early_refusal, take_hand_over
from bendwind_core.attempts.attempt_log import Fate
from bendwind_core.attempts.fencing import answer_fence, cancel_running, lose_link, open_link
from bendwind_core.attempts.limits import name_reason, take_change
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.owner_events import (
    CallRefused,
    CancelArrived,
    ColdAssumed,
    DispatchDone,
    DispatchHead,
    DispatchNotRun,
    DispatchSent,
    DispatchUnknown,
    Drain,
    Drained,
    FenceArrived,
    HandOverArrived,
    LeavingSaid,
    LimitNamed,
    LimitNotNamed,
    LinkLost,
    LinkOpened,
    LoadNotReported,
    LoadReported,
    OwnerEffect,
    OwnerEvent,
    Tick,
    UpstreamAnnounced,
    UpstreamAsked,
    UpstreamChecked,
    UpstreamLost,
    UpstreamReached,
    UpstreamRestarted,
    WaitingWithdrawn,
    WarmUpRuled,
    WarmUpTold,
)
from bendwind_core.attempts.owner_state import (
    OwnerState,
    QueuedAttempt,
    create_owner_state,
    is_open,
)
from bendwind_core.attempts.pace import is_slow, note_report
from bendwind_core.attempts.precedence import find_slots
from bendwind_core.attempts.refusals import (
    bounce_queue,
    drop_waiting,
    find_end,
    next_expiry,
    take_off_queue,
)
from bendwind_core.attempts.run_ends import is_failure, take_head, take_not_run, take_unknown
from bendwind_core.attempts.runs import end_running, mark_sent, note_sent_again, start
from bendwind_core.attempts.service_time import note_result
from bendwind_core.attempts.slots import has_room, load_sample, next_room
from bendwind_core.attempts.suspects import is_withheld_here, note_success
from bendwind_core.attempts.upstream_end import note_alive
from bendwind_core.attempts.upstream_state import (
    hear_leaving,
    lose,
    restart,
    stop,
    take_announcement,
    take_check,
)
from bendwind_core.core import Seconds
from bendwind_core.limits import fair_queue

__all__ = [
    "OwnerState",
    "create_owner_state",
    "find_early_refusal",
    "load_sample",
    "next_due",
    "step",
]


def next_due(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the next Tick is due, or None."""
    looks = next_expiry(owner_state), next_look(owner_state, now), next_room(owner_state, now)
    return min((due for due in looks if due is not None), default=None)


def step(owner_state: OwnerState, event: OwnerEvent, now: Seconds) -> list[OwnerEffect]:
    """Apply an event to the owner."""
    effects: list[OwnerEffect] = []
    match event:
        case HandOverArrived():
            take_hand_over(owner_state, event, now, effects)
        case DispatchSent():
            note_sent_again(owner_state, event.attempt, now)
            mark_sent(owner_state, event.attempt, now)
        case DispatchHead():
            mark_sent(owner_state, event.attempt, now)
            take_head(owner_state, event, now)
            note_result(owner_state.times, is_error=is_failure(event.status))
        case DispatchDone():
            owner_state.progress_at = now
            running = end_running(owner_state, event.attempt, Fate.ENDED)
            if running is not None and not is_failure(running.status):
                note_success(owner_state, running, now)
        case CallRefused():
            record_refused_call(owner_state.dependency, now)
        case LoadReported(slow_factor=slow_factor):
            note_report(owner_state.pace, slow_factor, now)
            note_alive(owner_state.ends, now)
        case LoadNotReported(may_ask=may_ask):
            owner_state.may_ask = may_ask
        case LimitNamed(per_second=per_second, sent_at=sent_at):
            change = record_named_limit(owner_state.rate_limit, per_second, sent_at, now)
            take_change(owner_state, change, now, effects)
        case LimitNotNamed(sent_at=sent_at):
            change = record_no_limit(owner_state.rate_limit, sent_at, now)
            take_change(owner_state, change, now, effects)
        case LeavingSaid():
            hear_leaving(owner_state, now, effects)
        case UpstreamAsked():
            consume_token(owner_state.rate_limit, now)
        case WarmUpRuled(rule=rule):
            owner_state.warm_up.rule = rule
        case ColdAssumed():
            assume_cold(owner_state.warm_up, now)
        case WarmUpTold(left_ms=left_ms, asked_at=None):
            record_cold_announcement(owner_state.warm_up, left_ms, now)
        case WarmUpTold(left_ms=left_ms, asked_at=asked_at):
            record_cold_reply(owner_state.warm_up, left_ms, asked_at, now)
        case UpstreamChecked(is_refused=is_refused):
            take_check(owner_state, now, effects, is_refused=is_refused)
        case UpstreamReached():
            owner_state.is_unreachable = False
        case UpstreamRestarted():
            restart(owner_state, now, effects)
        case WaitingWithdrawn():
            bounce_queue(owner_state, NotRunReason.DRAINING, now, effects)
        case DispatchNotRun():
            take_not_run(owner_state, event, now, effects)
        case DispatchUnknown():
            take_unknown(owner_state, event, now, effects)
        case CancelArrived():
            _on_cancel(owner_state, event, now, effects)
        case FenceArrived():
            answer_fence(owner_state, event.fence, event.epoch, effects)
        case LinkOpened():
            open_link(owner_state, event, effects)
        case LinkLost():
            lose_link(owner_state, event, effects)
        case Drain():
            stop(owner_state, now)
        case UpstreamAnnounced():
            take_announcement(owner_state, event, now, effects)
        case UpstreamLost(is_replaced=is_replaced):
            lose(owner_state, now, effects, is_replaced=is_replaced)
        case Tick():
            pass
    _expire_queue(owner_state, now, effects)
    _give_back(owner_state, _has_to_wait, NotRunReason.BUSY, now, effects)
    _give_back(owner_state, is_stalled_again, NotRunReason.STALLED, now, effects)
    _dispatch_waiting(owner_state, now, effects)
    _give_back(owner_state, _is_at_its_end, NotRunReason.QUEUE_FULL, now, effects)
    # What was given back may have been what kept a call from a slot that requests do not use.
    _dispatch_waiting(owner_state, now, effects)
    ask_if_held(owner_state, now, effects)
    _report_drained(owner_state, effects)
    return effects


def _on_cancel(
    owner_state: OwnerState, event: CancelArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = event.attempt
    queued = owner_state.waiting.get(attempt)
    if queued is not None:
        take_off_queue(owner_state, queued)
        drop_waiting(owner_state, queued, NotRunReason.CANCELLED, now, effects)
        return
    cancel_running(owner_state, attempt, effects)


def _expire_queue(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    if not owner_state.waiting:
        return
    if owner_state.bounce_queue_at is not None and now >= owner_state.bounce_queue_at:
        bounce_queue(owner_state, NotRunReason.DRAINING, now, effects)
        return
    for queued in list(owner_state.waiting.values()):
        if now >= queued.expires_at:
            take_off_queue(owner_state, queued)
            drop_waiting(owner_state, queued, NotRunReason.DEADLINE, now, effects)


def _has_to_wait(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether an attempt that may not wait would have to, by what has been reported since."""
    if queued.hand_over.may_wait:
        return False
    return is_slow(owner_state.pace, now) or not has_room(
        owner_state, now, find_slots(owner_state, queued, now)
    )


def _is_at_its_end(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    return now >= find_end(queued)


def _give_back(
    owner_state: OwnerState,
    is_given_back: Callable[[OwnerState, QueuedAttempt, Seconds], bool],
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    """Refuse what would be late here, while it can still be tried elsewhere."""
    for queued in list(owner_state.waiting.values()):
        if is_given_back(owner_state, queued, now):
            take_off_queue(owner_state, queued)
            named = name_reason(owner_state, reason, now)
            drop_waiting(owner_state, queued, named, now, effects)


def _dispatch_waiting(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    while (queued := _take_next(owner_state, now)) is not None:
        if is_withheld_here(owner_state, queued, now):
            # While it waited, upstreams ended under it elsewhere.
            drop_waiting(owner_state, queued, NotRunReason.QUARANTINED, now, effects)
            continue
        del owner_state.waiting[queued.hand_over.attempt]
        start(owner_state, queued, now, effects)


def _take_next(owner_state: OwnerState, now: Seconds) -> QueuedAttempt | None:
    queued = take_startable(owner_state, now) if len(owner_state.timed) else None
    if queued is None and has_room(owner_state, now):
        return fair_queue.pop(owner_state.queue)
    return queued


def _report_drained(owner_state: OwnerState, effects: list[OwnerEffect]) -> None:
    is_empty = not owner_state.running and not owner_state.waiting
    if not is_open(owner_state) and is_empty and not owner_state.is_drained:
        owner_state.is_drained = True
        effects.append(Drained())
