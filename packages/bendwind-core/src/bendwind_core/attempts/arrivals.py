"""Decide on each attempt that is handed over: refused, started or waiting."""

from bendwind_core.admission import is_limited, note_arrival, note_offered, note_origin, turns_away
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
from bendwind_core.attempts.fencing import take_epoch
from bendwind_core.attempts.limits import name_reason, take_carried, tell_return_ms
from bendwind_core.attempts.messages import AttemptId, CutReason, HandOver, NotRunReason
from bendwind_core.attempts.owner_events import HandOverArrived, OwnerEffect, ReplyUnknown
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt, is_open
from bendwind_core.attempts.precedence import find_slots, push, set_precedence
from bendwind_core.attempts.refusals import drop_waiting, refuse, take_off_queue
from bendwind_core.attempts.runs import start
from bendwind_core.attempts.slots import find_room_wait_ms, has_room, is_stalled, load_sample
from bendwind_core.attempts.suspects import find_suspicion
from bendwind_core.attempts.usual_times import guess_route_time
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import fair_queue
from bendwind_core.world import UpstreamState


def find_early_refusal(
    owner_state: OwnerState, hand_over: HandOver, now: Seconds
) -> NotRunReason | None:
    """Return why a hand-over whose body is still coming would be refused now, or None."""
    if hand_over.owner_incarnation != owner_state.incarnation:
        return NotRunReason.WRONG_OWNER
    guess_route_time(owner_state, hand_over)
    return _find_refusal(owner_state, _create_queued(owner_state, hand_over, 0, now), now)


def _create_queued(
    owner_state: OwnerState, hand_over: HandOver, epoch: int, now: Seconds
) -> QueuedAttempt:
    expires_at = now + hand_over.remaining_ms / MILLISECONDS_PER_SECOND
    queued = QueuedAttempt(hand_over, epoch, expires_at, now)
    set_precedence(owner_state, queued, now)
    if hand_over.target_ms is not None:
        queued.due_at = find_due(owner_state, hand_over, now)
        queued.leaves_at = find_leaving(owner_state, queued, now)
    return queued


def take_hand_over(
    owner_state: OwnerState, event: HandOverArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Decide on an attempt that was handed over."""
    hand_over = event.hand_over
    attempt = hand_over.attempt
    if hand_over.owner_incarnation != owner_state.incarnation:
        refuse(owner_state, attempt, event.epoch, NotRunReason.WRONG_OWNER, now, effects, hand_over)
        return
    peer = meet_peer(owner_state.log, attempt.entry, attempt.incarnation, attempt.sequence - 1)
    if peer is None or event.epoch < peer.epoch:
        return
    take_epoch(owner_state, peer, attempt.entry, attempt.incarnation, event.epoch, effects)
    if _is_seen(owner_state, peer, attempt, event.epoch, now, effects):
        return
    take_carried(owner_state, hand_over, now, effects)
    guess_route_time(owner_state, hand_over)
    note_origin(owner_state.origins, hand_over.route, hand_over.origin)
    queued = _create_queued(owner_state, hand_over, event.epoch, now)
    if not queued.is_inner:
        note_arrival(owner_state.arrivals, hand_over.rank, now)
    refusal = _find_refusal(owner_state, queued, now)
    # A try that is sent back is offered elsewhere; one that is taken counts like any other.
    if not queued.is_inner and (hand_over.may_wait or refusal is None):
        note_offered(owner_state.rank_counts, hand_over.rank, now)
    if refusal is None and turns_away(owner_state.dependency, hand_over.route, now):
        refusal = NotRunReason.DEPENDENCY_FULL
    if refusal is not None:
        record_ended(owner_state.log, attempt, Fate.NEVER_STARTED)
        wait_ms = _find_told_wait(owner_state, queued, refusal, now)
        refuse(owner_state, attempt, event.epoch, refusal, now, effects, hand_over, wait_ms)
        if refusal is NotRunReason.BUSY:
            ask_for_next(owner_state, now, effects)
        return
    if owner_state.suspects.suspects or hand_over.suspicion is not None:
        withheld = find_suspicion(owner_state, queued, now)
        if withheld is not None:
            record_ended(owner_state.log, attempt, Fate.NEVER_STARTED)
            reason, wait_ms = withheld.reason, withheld.wait_ms
            refuse(owner_state, attempt, event.epoch, reason, now, effects, hand_over, wait_ms)
            return
    _enqueue(owner_state, queued, now, effects)


def _find_told_wait(
    owner_state: OwnerState, queued: QueuedAttempt, refusal: NotRunReason, now: Seconds
) -> Milliseconds | None:
    """Return how long the entry node is told that a refused attempt would have waited, or None."""
    if refusal is NotRunReason.LIMITED and queued.hand_over.may_wait:
        return tell_return_ms(owner_state, now)
    if refusal in (NotRunReason.BUSY, NotRunReason.LIMITED):
        return find_start_wait_ms(owner_state, queued, now)
    return None


def _is_seen(
    owner_state: OwnerState,
    peer: EntryPeer,
    attempt: AttemptId,
    epoch: int,
    now: Seconds,
    effects: list[OwnerEffect],
) -> bool:
    fate = owner_state.log.fates.get(attempt)
    if fate is Fate.NEVER_STARTED:
        refuse(owner_state, attempt, epoch, NotRunReason.FENCED, now, effects)
        return True
    if fate is not None:
        return True
    if attempt.sequence <= peer.floor:
        # It may be a repeat of an attempt that was started and dropped from the log.
        sample = load_sample(owner_state, now)
        effects.append(ReplyUnknown(attempt, epoch, CutReason.LINK_LOST, sample))
        return True
    return False


def _find_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> NotRunReason | None:
    reason = _find_reason(owner_state, queued, now)
    return None if reason is None else name_reason(owner_state, reason, now)


def _find_reason(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> NotRunReason | None:
    hand_over = queued.hand_over
    if owner_state.state is UpstreamState.GONE or owner_state.is_unreachable:
        return NotRunReason.NO_UPSTREAM
    if not is_open(owner_state):
        return NotRunReason.DRAINING
    if hand_over.remaining_ms <= 0:
        return NotRunReason.DEADLINE
    if not hand_over.may_wait and not has_place_at_once(owner_state, queued, now):
        return NotRunReason.BUSY
    if hand_over.target_ms is not None:
        return find_refusal(owner_state, queued, now)
    if not hand_over.accept_if_slow and is_stalled(owner_state, now):
        return NotRunReason.STALLED
    wait_ms = find_room_wait_ms(owner_state, len(owner_state.waiting), now)
    if is_limited(owner_state.rate_limit) and wait_ms >= hand_over.remaining_ms:
        return NotRunReason.QUEUE_FULL
    return None


def _enqueue(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = queued.hand_over.attempt
    has_place = has_room(owner_state, now, find_slots(owner_state, queued, now))
    if not owner_state.waiting and has_place and _may_start(owner_state, queued, now):
        start(owner_state, queued, now, effects)
        return
    record_live(owner_state.log, attempt, Fate.QUEUED)
    owner_state.waiting[attempt] = queued
    if queued.hand_over.target_ms is None:
        displaced = fair_queue.push(owner_state.queue, attempt.entry, queued)
    else:
        displaced = push(owner_state, queued)
    if displaced is not None:
        reason = name_reason(owner_state, NotRunReason.QUEUE_FULL, now)
        drop_waiting(owner_state, displaced, reason, now, effects)
    for hopeless in list_hopeless(owner_state, queued, now):
        take_off_queue(owner_state, hopeless)
        drop_waiting(owner_state, hopeless, NotRunReason.QUEUE_FULL, now, effects)


def _may_start(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    return queued.hand_over.target_ms is None or may_start(owner_state, queued, now)
