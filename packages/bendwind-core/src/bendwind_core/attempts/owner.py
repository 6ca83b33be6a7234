"""Decide, at the one node that sends to an upstream, what happens to each attempt.

The desk alone knows which attempts were started, so it alone says "not run", and only of an
attempt that it marks, in the same step, as one that never starts.
"""

from collections.abc import Callable

from bendwind_core.admission import assume_cold, note_asked, note_call_refused, note_told
from bendwind_core.attempts.admission import (
    ask_if_held,
    is_stalled_again,
    next_look,
    take_startable,
)
from bendwind_core.attempts.arrivals import find_early_refusal, take_hand_over
from bendwind_core.attempts.attempt_log import Fate
from bendwind_core.attempts.desk import OwnerDesk, QueuedAttempt, create_desk, is_open
from bendwind_core.attempts.fencing import answer_fence, cancel_running, lose_link, open_link
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
    LinkLost,
    LinkOpened,
    LoadNotReported,
    LoadReported,
    OwnerEffect,
    OwnerEvent,
    Tick,
    UpstreamAnnounced,
    UpstreamChecked,
    UpstreamLost,
    UpstreamReached,
    UpstreamRestarted,
    WaitingWithdrawn,
    WarmUpRuled,
    WarmUpTold,
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
from bendwind_core.attempts.runs import end_running, mark_sent, start
from bendwind_core.attempts.service_time import note_result
from bendwind_core.attempts.slots import has_room, load_sample, next_cold_room
from bendwind_core.attempts.suspects import is_withheld_here, note_success
from bendwind_core.attempts.upstream_end import note_alive
from bendwind_core.attempts.upstream_state import lose, restart, stop, take_announcement, take_check
from bendwind_core.core import Seconds
from bendwind_core.limits import fair_queue

__all__ = ["OwnerDesk", "create_desk", "find_early_refusal", "load_sample", "next_due", "step"]


def next_due(desk: OwnerDesk, now: Seconds) -> Seconds | None:
    """Return when the next Tick is due, or None."""
    looks = next_expiry(desk), next_look(desk, now), next_cold_room(desk, now)
    return min((due for due in looks if due is not None), default=None)


def step(desk: OwnerDesk, event: OwnerEvent, now: Seconds) -> list[OwnerEffect]:
    """Apply an event to the desk."""
    effects: list[OwnerEffect] = []
    match event:
        case HandOverArrived():
            take_hand_over(desk, event, now, effects)
        case DispatchSent():
            mark_sent(desk, event.attempt, now)
        case DispatchHead():
            mark_sent(desk, event.attempt, now)
            take_head(desk, event, now)
            note_result(desk.times, is_error=is_failure(event.status))
        case DispatchDone():
            desk.progress_at = now
            running = end_running(desk, event.attempt, Fate.ENDED)
            if running is not None and not is_failure(running.status):
                note_success(desk, running, now)
        case CallRefused():
            note_call_refused(desk.dependency, now)
        case LoadReported(slow_factor=slow_factor):
            note_report(desk.pace, slow_factor, now)
            note_alive(desk.ends, now)
        case LoadNotReported(may_ask=may_ask):
            desk.may_ask = may_ask
        case WarmUpRuled(rule=rule):
            desk.warm_up.rule = rule
        case ColdAssumed():
            assume_cold(desk.warm_up, now)
        case WarmUpTold(left_ms=left_ms, asked_at=None):
            note_told(desk.warm_up, left_ms, now)
        case WarmUpTold(left_ms=left_ms, asked_at=asked_at):
            note_asked(desk.warm_up, left_ms, asked_at, now)
        case UpstreamChecked(is_refused=is_refused):
            take_check(desk, now, effects, is_refused=is_refused)
        case UpstreamReached():
            desk.is_unreachable = False
        case UpstreamRestarted():
            restart(desk, now, effects)
        case WaitingWithdrawn():
            bounce_queue(desk, NotRunReason.DRAINING, now, effects)
        case DispatchNotRun():
            take_not_run(desk, event, now, effects)
        case DispatchUnknown():
            take_unknown(desk, event, now, effects)
        case CancelArrived():
            _on_cancel(desk, event, now, effects)
        case FenceArrived():
            answer_fence(desk, event.fence, event.epoch, effects)
        case LinkOpened():
            open_link(desk, event, effects)
        case LinkLost():
            lose_link(desk, event, effects)
        case Drain():
            stop(desk, now)
        case UpstreamAnnounced():
            take_announcement(desk, event, now, effects)
        case UpstreamLost(is_replaced=is_replaced):
            lose(desk, now, effects, is_replaced=is_replaced)
        case Tick():
            pass
    _expire_queue(desk, now, effects)
    _give_back(desk, _has_to_wait, NotRunReason.BUSY, now, effects)
    _give_back(desk, is_stalled_again, NotRunReason.STALLED, now, effects)
    _dispatch_waiting(desk, now, effects)
    _give_back(desk, _is_at_its_end, NotRunReason.QUEUE_FULL, now, effects)
    # What was given back may have been what kept a call from a slot that requests do not use.
    _dispatch_waiting(desk, now, effects)
    ask_if_held(desk, now, effects)
    _report_drained(desk, effects)
    return effects


def _on_cancel(
    desk: OwnerDesk, event: CancelArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = event.attempt
    queued = desk.waiting.get(attempt)
    if queued is not None:
        take_off_queue(desk, queued)
        drop_waiting(desk, queued, NotRunReason.CANCELLED, now, effects)
        return
    cancel_running(desk, attempt, effects)


def _expire_queue(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    if not desk.waiting:
        return
    if desk.bounce_queue_at is not None and now >= desk.bounce_queue_at:
        bounce_queue(desk, NotRunReason.DRAINING, now, effects)
        return
    for queued in list(desk.waiting.values()):
        if now >= queued.expires_at:
            take_off_queue(desk, queued)
            drop_waiting(desk, queued, NotRunReason.DEADLINE, now, effects)


def _has_to_wait(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether an attempt that may not wait would have to, by what has been reported since."""
    if queued.hand_over.may_wait:
        return False
    return is_slow(desk.pace, now) or not has_room(desk, now, find_slots(desk, queued, now))


def _is_at_its_end(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds) -> bool:
    return now >= find_end(queued)


def _give_back(
    desk: OwnerDesk,
    is_given_back: Callable[[OwnerDesk, QueuedAttempt, Seconds], bool],
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    """Refuse what would be late here, while it can still be tried elsewhere."""
    for queued in list(desk.waiting.values()):
        if is_given_back(desk, queued, now):
            take_off_queue(desk, queued)
            drop_waiting(desk, queued, reason, now, effects)


def _dispatch_waiting(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    while (queued := _take_next(desk, now)) is not None:
        if is_withheld_here(desk, queued, now):
            # While it waited, upstreams ended under it elsewhere.
            drop_waiting(desk, queued, NotRunReason.QUARANTINED, now, effects)
            continue
        del desk.waiting[queued.hand_over.attempt]
        start(desk, queued, now, effects)


def _take_next(desk: OwnerDesk, now: Seconds) -> QueuedAttempt | None:
    queued = take_startable(desk, now) if len(desk.timed) else None
    if queued is None and has_room(desk, now):
        return fair_queue.pop(desk.queue)
    return queued


def _report_drained(desk: OwnerDesk, effects: list[OwnerEffect]) -> None:
    is_empty = not desk.running and not desk.waiting
    if not is_open(desk) and is_empty and not desk.is_drained:
        desk.is_drained = True
        effects.append(Drained())
