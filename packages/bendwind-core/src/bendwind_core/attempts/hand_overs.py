"""Decide whether each attempt that is handed over is refused, started or queued."""

from bendwind_core.admission import (
    is_limited,
    record_arrival,
    record_offered,
    record_origin,
    should_refuse_for_dependency,
)
from bendwind_core.attempts.admission import (
    can_start_immediately,
    estimate_start_wait_ms,
    find_latest_start,
    find_refusal,
    find_refuse_at,
    list_unstartable,
    query_load_after_refusal,
    should_start_now,
)
from bendwind_core.attempts.attempt_log import (
    EntryPeer,
    ExecutionState,
    find_or_create_peer,
    record_ended,
    record_live,
)
from bendwind_core.attempts.fencing import advance_link_epoch
from bendwind_core.attempts.messages import AttemptId, CutReason, HandOver, NotRunReason
from bendwind_core.attempts.outlasting import would_outlast_process
from bendwind_core.attempts.owner_events import HandOverArrived, OwnerEffect, ReplyUnknown
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt, is_accepting
from bendwind_core.attempts.precedence import find_slot_limit, push_timed, set_precedence
from bendwind_core.attempts.refusals import refuse, refuse_waiting, remove_from_queue
from bendwind_core.attempts.running_attempts import start_attempt
from bendwind_core.attempts.slots import find_rate_wait_ms, has_capacity, is_stalled, load_sample
from bendwind_core.attempts.suspects import find_suspect_refusal
from bendwind_core.attempts.upstream_limit import (
    apply_carried_limit,
    assign_retry_wait_ms,
    refuse_overtaken,
    resolve_refusal_reason,
)
from bendwind_core.attempts.usual_times import set_initial_route_time
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import fair_queue
from bendwind_core.world import UpstreamState


def find_early_refusal(
    owner_state: OwnerState, hand_over: HandOver, now: Seconds
) -> NotRunReason | None:
    """Return why a hand-over whose body is not complete yet would be refused now, or None."""
    if hand_over.owner_incarnation != owner_state.incarnation:
        return NotRunReason.WRONG_OWNER
    set_initial_route_time(owner_state, hand_over)
    return _find_refusal(owner_state, _create_queued_attempt(owner_state, hand_over, 0, now), now)


def _create_queued_attempt(
    owner_state: OwnerState, hand_over: HandOver, epoch: int, now: Seconds
) -> QueuedAttempt:
    expires_at = now + hand_over.remaining_ms / MILLISECONDS_PER_SECOND
    queued = QueuedAttempt(hand_over, epoch, expires_at, now)
    if hand_over.entry_left_ms is not None:
        queued.entry_ends_at = now + hand_over.entry_left_ms / MILLISECONDS_PER_SECOND
        owner_state.has_ending_entries = True
    set_precedence(owner_state, queued, now)
    if hand_over.target_ms is not None:
        queued.due_at = find_latest_start(owner_state, hand_over, now)
        queued.refuse_at = find_refuse_at(owner_state, queued, now)
    return queued


def handle_hand_over(
    owner_state: OwnerState, event: HandOverArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Refuse, start or queue an attempt that was handed over."""
    hand_over = event.hand_over
    attempt = hand_over.attempt
    if hand_over.owner_incarnation != owner_state.incarnation:
        refuse(owner_state, attempt, event.epoch, NotRunReason.WRONG_OWNER, now, effects, hand_over)
        return
    peer = find_or_create_peer(
        owner_state.log, attempt.entry, attempt.incarnation, attempt.sequence - 1
    )
    if peer is None or event.epoch < peer.epoch:
        return
    advance_link_epoch(owner_state, peer, attempt.entry, attempt.incarnation, event.epoch, effects)
    if _refuse_if_repeated(owner_state, peer, attempt, event.epoch, now, effects):
        return
    apply_carried_limit(owner_state, hand_over, now, effects)
    set_initial_route_time(owner_state, hand_over)
    record_origin(owner_state.origins, hand_over.route, hand_over.origin)
    queued = _create_queued_attempt(owner_state, hand_over, event.epoch, now)
    if not queued.is_inner:
        record_arrival(owner_state.arrival_counts, hand_over.rank, now)
    refusal = _find_refusal(owner_state, queued, now)
    # A refused no-wait attempt is offered to another upstream; an accepted one counts like any
    # other attempt.
    if not queued.is_inner and (hand_over.may_wait or refusal is None):
        record_offered(owner_state.rank_counts, hand_over.rank, now)
    if refusal is None and should_refuse_for_dependency(
        owner_state.dependency_overload, hand_over.route, now
    ):
        refusal = NotRunReason.DEPENDENCY_FULL
    if refusal is not None:
        record_ended(owner_state.log, attempt, ExecutionState.NEVER_STARTED)
        wait_ms = _find_reported_wait_ms(owner_state, queued, refusal, now)
        refuse(owner_state, attempt, event.epoch, refusal, now, effects, hand_over, wait_ms)
        if refusal is NotRunReason.BUSY:
            query_load_after_refusal(owner_state, now, effects)
        return
    if owner_state.suspects.suspects or hand_over.suspicion is not None:
        suspect_refusal = find_suspect_refusal(owner_state, queued, now)
        if suspect_refusal is not None:
            record_ended(owner_state.log, attempt, ExecutionState.NEVER_STARTED)
            reason, wait_ms = suspect_refusal.reason, suspect_refusal.wait_ms
            refuse(owner_state, attempt, event.epoch, reason, now, effects, hand_over, wait_ms)
            return
    _enqueue(owner_state, queued, now, effects)


def _find_reported_wait_ms(
    owner_state: OwnerState, queued: QueuedAttempt, refusal: NotRunReason, now: Seconds
) -> Milliseconds | None:
    """Return the wait that is reported to the entry node of a refused attempt, or None.

    The wait is how long the attempt would have waited, or the time until its caller should retry.
    """
    if refusal is NotRunReason.LIMITED and queued.hand_over.may_wait:
        return assign_retry_wait_ms(owner_state, now)
    if refusal in (NotRunReason.BUSY, NotRunReason.LIMITED):
        return estimate_start_wait_ms(owner_state, queued, now)
    return None


def _refuse_if_repeated(
    owner_state: OwnerState,
    peer: EntryPeer,
    attempt: AttemptId,
    epoch: int,
    now: Seconds,
    effects: list[OwnerEffect],
) -> bool:
    state = owner_state.log.states.get(attempt)
    if state is ExecutionState.NEVER_STARTED:
        refuse(owner_state, attempt, epoch, NotRunReason.FENCED, now, effects)
        return True
    if state is not None:
        return True
    if attempt.sequence <= peer.floor:
        # It may repeat an attempt that was started and later evicted from the log.
        sample = load_sample(owner_state, now)
        effects.append(ReplyUnknown(attempt, epoch, CutReason.LINK_LOST, sample))
        return True
    return False


def _find_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> NotRunReason | None:
    reason = _find_basic_refusal(owner_state, queued, now)
    return None if reason is None else resolve_refusal_reason(owner_state, reason, now)


def _find_basic_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> NotRunReason | None:
    hand_over = queued.hand_over
    if owner_state.state is UpstreamState.GONE or owner_state.is_unreachable:
        return NotRunReason.NO_UPSTREAM
    if not is_accepting(owner_state) or would_outlast_process(owner_state, queued, now):
        return NotRunReason.DRAINING
    if hand_over.remaining_ms <= 0:
        return NotRunReason.DEADLINE
    if not hand_over.may_wait and not can_start_immediately(owner_state, queued, now):
        return NotRunReason.BUSY
    if hand_over.target_ms is not None:
        return find_refusal(owner_state, queued, now)
    if not hand_over.accept_if_slow and is_stalled(owner_state, now):
        return NotRunReason.STALLED
    wait_ms = find_rate_wait_ms(owner_state, len(owner_state.waiting), now)
    if is_limited(owner_state.rate_limit) and wait_ms >= hand_over.remaining_ms:
        return NotRunReason.QUEUE_FULL
    return None


def _enqueue(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = queued.hand_over.attempt
    has_slot = has_capacity(owner_state, now, find_slot_limit(owner_state, queued, now))
    if not owner_state.waiting and has_slot and _may_start(owner_state, queued, now):
        start_attempt(owner_state, queued, now, effects)
        return
    record_live(owner_state.log, attempt, ExecutionState.QUEUED)
    owner_state.waiting[attempt] = queued
    if queued.hand_over.target_ms is None:
        displaced = fair_queue.push(owner_state.queue, attempt.entry, queued)
    else:
        displaced = push_timed(owner_state, queued)
    if displaced is not None:
        reason = resolve_refusal_reason(owner_state, NotRunReason.QUEUE_FULL, now)
        refuse_waiting(owner_state, displaced, reason, now, effects)
    for hopeless in list_unstartable(owner_state, queued, now):
        remove_from_queue(owner_state, hopeless)
        refuse_waiting(owner_state, hopeless, NotRunReason.QUEUE_FULL, now, effects)
    refuse_overtaken(owner_state, now, effects)


def _may_start(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    return queued.hand_over.target_ms is None or should_start_now(owner_state, queued, now)
