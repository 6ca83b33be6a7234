"""Decide, at the one node that sends to an upstream, what happens to each attempt.

The desk alone knows which attempts were started, so it alone says "not run", and only of an
attempt that it marks, in the same step, as one that never starts.
"""

from collections.abc import Callable

from bendwind_core.admission import (
    assume_cold,
    note_arrival,
    note_asked,
    note_call_refused,
    note_offered,
    note_origin,
    note_run_ended,
    note_told,
    turns_away,
)
from bendwind_core.attempts.admission import (
    ask_for_next,
    ask_if_held,
    find_due,
    find_leaving,
    find_refusal,
    find_start_wait_ms,
    has_place_at_once,
    is_stalled_again,
    list_hopeless,
    may_start,
    next_look,
    take_startable,
)
from bendwind_core.attempts.attempt_log import (
    EntryPeer,
    Fate,
    meet_peer,
    record_ended,
    record_live,
)
from bendwind_core.attempts.desk import (
    OwnerDesk,
    QueuedAttempt,
    bounce_queue,
    create_desk,
    drop_waiting,
    end_running,
    find_end,
    guess_route_time,
    has_room,
    is_open,
    is_stalled,
    load_sample,
    mark_sent,
    next_cold_room,
    next_expiry,
    note_route_time,
    refuse,
    start,
    take_off_queue,
)
from bendwind_core.attempts.fencing import (
    answer_fence,
    cancel_running,
    lose_link,
    open_link,
    take_epoch,
)
from bendwind_core.attempts.messages import (
    AttemptId,
    CutReason,
    HandOver,
    NotRunReason,
)
from bendwind_core.attempts.owner_events import (
    CallRefused,
    CancelArrived,
    CheckUpstream,
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
    ReplyUnknown,
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
from bendwind_core.attempts.precedence import find_slots, push, set_precedence
from bendwind_core.attempts.service_time import note_result, note_time
from bendwind_core.attempts.suspects import (
    find_suspicion,
    is_withheld_here,
    note_success,
    note_upstream_end,
)
from bendwind_core.attempts.upstream_end import note_alive, note_reset, note_unanswered
from bendwind_core.attempts.upstream_state import (
    hold_down,
    lose,
    restart,
    stop,
    take_announcement,
    take_check,
)
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import fair_queue
from bendwind_core.world import UpstreamState

__all__ = ["OwnerDesk", "create_desk", "find_early_refusal", "load_sample", "next_due", "step"]


_FAILED_STATUS = 500


def next_due(desk: OwnerDesk, now: Seconds) -> Seconds | None:
    """Return when the next Tick is due, or None."""
    looks = next_expiry(desk), next_look(desk, now), next_cold_room(desk, now)
    return min((due for due in looks if due is not None), default=None)


def find_early_refusal(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> NotRunReason | None:
    """Return why a hand-over whose body is still coming would be refused now, or None."""
    if hand_over.owner_incarnation != desk.incarnation:
        return NotRunReason.WRONG_OWNER
    guess_route_time(desk, hand_over)
    return _find_refusal(desk, _create_queued(desk, hand_over, 0, now), now)


def _create_queued(desk: OwnerDesk, hand_over: HandOver, epoch: int, now: Seconds) -> QueuedAttempt:
    expires_at = now + hand_over.remaining_ms / MILLISECONDS_PER_SECOND
    queued = QueuedAttempt(hand_over, epoch, expires_at, now)
    set_precedence(desk, queued, now)
    if hand_over.target_ms is not None:
        queued.due_at = find_due(desk, hand_over, now)
        queued.leaves_at = find_leaving(desk, queued, now)
    return queued


def step(desk: OwnerDesk, event: OwnerEvent, now: Seconds) -> list[OwnerEffect]:
    """Apply an event to the desk."""
    effects: list[OwnerEffect] = []
    match event:
        case HandOverArrived():
            _on_hand_over(desk, event, now, effects)
        case DispatchSent():
            mark_sent(desk, event.attempt, now)
        case DispatchHead():
            mark_sent(desk, event.attempt, now)
            _note_head(desk, event, now)
            note_result(desk.times, is_error=event.status >= _FAILED_STATUS)
        case DispatchDone():
            desk.progress_at = now
            running = end_running(desk, event.attempt, Fate.ENDED)
            if running is not None and running.status < _FAILED_STATUS:
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
            _on_dispatch_not_run(desk, event, now, effects)
        case DispatchUnknown():
            _on_dispatch_unknown(desk, event, now, effects)
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


def _note_head(desk: OwnerDesk, event: DispatchHead, now: Seconds) -> None:
    note_alive(desk.ends, now)
    # Health may be good while every request is reset: only an answer to one counts.
    desk.ends.resets = 0
    note_time(desk.times, event.upstream_ms)
    running = desk.running.get(event.attempt)
    if running is None:
        return
    running.status = event.status
    if not running.route:
        return
    is_error = event.status >= _FAILED_STATUS
    note_run_ended(
        desk.dependency,
        running.route,
        running.started_at,
        now,
        is_error=is_error,
    )
    if not is_error:
        note_route_time(desk, running, event.upstream_ms)


def _on_hand_over(
    desk: OwnerDesk, event: HandOverArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    hand_over = event.hand_over
    attempt = hand_over.attempt
    if hand_over.owner_incarnation != desk.incarnation:
        refuse(desk, attempt, event.epoch, NotRunReason.WRONG_OWNER, now, effects, hand_over)
        return
    peer = meet_peer(desk.log, attempt.entry, attempt.incarnation, attempt.sequence - 1)
    if peer is None or event.epoch < peer.epoch:
        return
    take_epoch(desk, peer, attempt.entry, attempt.incarnation, event.epoch, effects)
    if _is_seen(desk, peer, attempt, event.epoch, now, effects):
        return
    guess_route_time(desk, hand_over)
    note_origin(desk.origins, hand_over.route, hand_over.origin)
    queued = _create_queued(desk, hand_over, event.epoch, now)
    if not queued.is_inner:
        note_arrival(desk.arrivals, hand_over.rank, now)
    refusal = _find_refusal(desk, queued, now)
    # A try that is sent back is offered elsewhere; one that is taken counts like any other.
    if not queued.is_inner and (hand_over.may_wait or refusal is None):
        note_offered(desk.rank_counts, hand_over.rank, now)
    if refusal is None and turns_away(desk.dependency, hand_over.route, now):
        refusal = NotRunReason.DEPENDENCY_FULL
    if refusal is not None:
        record_ended(desk.log, attempt, Fate.NEVER_STARTED)
        wait_ms = find_start_wait_ms(desk, queued, now) if refusal is NotRunReason.BUSY else None
        refuse(desk, attempt, event.epoch, refusal, now, effects, hand_over, wait_ms)
        if refusal is NotRunReason.BUSY:
            ask_for_next(desk, now, effects)
        return
    if desk.suspects.suspects or hand_over.suspicion is not None:
        withheld = find_suspicion(desk, queued, now)
        if withheld is not None:
            record_ended(desk.log, attempt, Fate.NEVER_STARTED)
            reason, wait_ms = withheld.reason, withheld.wait_ms
            refuse(desk, attempt, event.epoch, reason, now, effects, hand_over, wait_ms)
            return
    _enqueue(desk, queued, now, effects)


def _is_seen(
    desk: OwnerDesk,
    peer: EntryPeer,
    attempt: AttemptId,
    epoch: int,
    now: Seconds,
    effects: list[OwnerEffect],
) -> bool:
    fate = desk.log.fates.get(attempt)
    if fate is Fate.NEVER_STARTED:
        refuse(desk, attempt, epoch, NotRunReason.FENCED, now, effects)
        return True
    if fate is not None:
        return True
    if attempt.sequence <= peer.floor:
        # It may be a repeat of an attempt that was started and dropped from the log.
        sample = load_sample(desk, now)
        effects.append(ReplyUnknown(attempt, epoch, CutReason.LINK_LOST, sample))
        return True
    return False


def _find_refusal(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds) -> NotRunReason | None:
    hand_over = queued.hand_over
    if desk.state is UpstreamState.GONE or desk.is_unreachable:
        return NotRunReason.NO_UPSTREAM
    if not is_open(desk):
        return NotRunReason.DRAINING
    if hand_over.remaining_ms <= 0:
        return NotRunReason.DEADLINE
    if not hand_over.may_wait and not has_place_at_once(desk, queued, now):
        return NotRunReason.BUSY
    if hand_over.target_ms is not None:
        return find_refusal(desk, queued, now)
    if not hand_over.insist and is_stalled(desk, now):
        return NotRunReason.STALLED
    return None


def _enqueue(
    desk: OwnerDesk, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = queued.hand_over.attempt
    has_place = has_room(desk, now, find_slots(desk, queued, now))
    if not desk.waiting and has_place and _may_start(desk, queued, now):
        start(desk, queued, now, effects)
        return
    record_live(desk.log, attempt, Fate.QUEUED)
    desk.waiting[attempt] = queued
    if queued.hand_over.target_ms is None:
        displaced = fair_queue.push(desk.queue, attempt.entry, queued)
    else:
        displaced = push(desk, queued)
    if displaced is not None:
        drop_waiting(desk, displaced, NotRunReason.QUEUE_FULL, now, effects)
    for hopeless in list_hopeless(desk, queued, now):
        take_off_queue(desk, hopeless)
        drop_waiting(desk, hopeless, NotRunReason.QUEUE_FULL, now, effects)


def _may_start(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds) -> bool:
    return queued.hand_over.target_ms is None or may_start(desk, queued, now)


def _on_dispatch_not_run(
    desk: OwnerDesk, event: DispatchNotRun, now: Seconds, effects: list[OwnerEffect]
) -> None:
    if event.reason is not NotRunReason.CONNECT_FAILED:
        mark_sent(desk, event.attempt, now)
    running = end_running(desk, event.attempt, Fate.NEVER_STARTED)
    if running is not None:
        note_result(desk.times, is_error=True)
        if event.reason is NotRunReason.CONNECT_FAILED:
            hold_down(desk, now, effects)
            if not event.is_timed_out:
                note_upstream_end(desk, now, effects)
        refuse(desk, event.attempt, running.epoch, event.reason, now, effects)


def _on_dispatch_unknown(
    desk: OwnerDesk, event: DispatchUnknown, now: Seconds, effects: list[OwnerEffect]
) -> None:
    mark_sent(desk, event.attempt, now)
    running = end_running(desk, event.attempt, Fate.ENDED)
    if running is None:
        return
    if event.reason is not CutReason.CANCELLED:
        note_result(desk.times, is_error=True)
    if not running.is_under_end:
        note_unanswered(desk.ends, running.hand_over, event.reason, now)
    is_reset = event.reason is CutReason.UPSTREAM_RESET
    if now < desk.ends.settles_at:
        note_upstream_end(desk, now, effects)
    elif is_reset and note_reset(desk.ends, running.started_at, now):
        hold_down(desk, now, effects)
    elif is_reset and not desk.ends.is_checked:
        desk.ends.is_checked = True
        effects.append(CheckUpstream())
    sample = load_sample(desk, now)
    effects.append(ReplyUnknown(event.attempt, running.epoch, event.reason, sample))


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
    """Tell whether an attempt that may not wait would, as a report that came since it did says."""
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
