"""Decide on each attempt that is handed over: refused, started or waiting."""

from bendwind_core.admission import note_arrival, note_offered, note_origin, turns_away
from bendwind_core.attempts.admission import (
    ask_for_next,
    find_due,
    find_leaving,
    find_refusal,
    find_start_wait_ms,
    has_place_at_once,
    list_hopeless,
    may_start,
)
from bendwind_core.attempts.attempt_log import EntryPeer, Fate, meet_peer, record_ended, record_live
from bendwind_core.attempts.desk import OwnerDesk, QueuedAttempt, is_open
from bendwind_core.attempts.fencing import take_epoch
from bendwind_core.attempts.messages import AttemptId, CutReason, HandOver, NotRunReason
from bendwind_core.attempts.owner_events import HandOverArrived, OwnerEffect, ReplyUnknown
from bendwind_core.attempts.precedence import find_slots, push, set_precedence
from bendwind_core.attempts.refusals import drop_waiting, refuse, take_off_queue
from bendwind_core.attempts.runs import start
from bendwind_core.attempts.slots import has_room, is_stalled, load_sample
from bendwind_core.attempts.suspects import find_suspicion
from bendwind_core.attempts.usual_times import guess_route_time
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import fair_queue
from bendwind_core.world import UpstreamState


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


def take_hand_over(
    desk: OwnerDesk, event: HandOverArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Decide on an attempt that was handed over."""
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
