"""Refuse attempts that never start, and find when waiting attempts are refused."""

from bendwind_core.attempts.attempt_log import ExecutionState, record_ended
from bendwind_core.attempts.messages import AttemptId, HandOver, NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, ReplyNotRun
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.attempts.slots import load_sample
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits import fair_queue, urgency_queue


def find_expiry(queued: QueuedAttempt) -> Seconds:
    """Return when a waiting attempt is refused if it has not started."""
    if queued.hand_over.target_ms is None:
        return queued.expires_at
    return min(queued.expires_at, queued.refuse_at)


def next_expiry(owner_state: OwnerState) -> Seconds | None:
    """Return when the next waiting attempt expires or is refused, or None."""
    if not owner_state.waiting:
        return None
    due = min(find_expiry(queued) for queued in owner_state.waiting.values())
    if owner_state.refuse_queue_at is not None:
        due = min(due, owner_state.refuse_queue_at)
    return due


def refuse(
    owner_state: OwnerState,
    attempt: AttemptId,
    epoch: int,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
    hand_over: HandOver | None = None,
    wait_ms: Milliseconds | None = None,
    queue_time: Seconds | None = None,
    *,
    is_sent_again: bool = False,
) -> None:
    """Reply that an attempt did not run; it must be certain that it never starts."""
    sample = load_sample(owner_state, now)
    effects.append(
        ReplyNotRun(attempt, epoch, reason, sample, hand_over, wait_ms, queue_time, is_sent_again)
    )


def refuse_waiting(
    owner_state: OwnerState,
    queued: QueuedAttempt,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
    wait_ms: Milliseconds | None = None,
) -> None:
    """Remove an attempt that is no longer in a queue from the owner's state, and refuse it."""
    _remove_waiting(owner_state, queued)
    hand_over = queued.hand_over
    queue_time = now - queued.queued_at
    refuse(
        owner_state,
        hand_over.attempt,
        queued.epoch,
        reason,
        now,
        effects,
        hand_over,
        wait_ms,
        queue_time,
    )


def fence_waiting(owner_state: OwnerState, queued: QueuedAttempt) -> None:
    """Remove a queued attempt from the owner's state without a reply."""
    remove_from_queue(owner_state, queued)
    _remove_waiting(owner_state, queued)


def remove_from_queue(owner_state: OwnerState, queued: QueuedAttempt) -> None:
    """Remove an attempt from the queue in which it waits."""
    if queued.hand_over.target_ms is None:
        fair_queue.remove(owner_state.queue, queued.hand_over.attempt.entry, queued)
    else:
        urgency_queue.remove(owner_state.timed_queue, queued)


def pop_any(owner_state: OwnerState, now: Seconds) -> QueuedAttempt | None:
    """Remove the next attempt from its queue, whether it may start or not; return it, or None."""
    timed = urgency_queue.pop(owner_state.timed_queue, now)
    return fair_queue.pop(owner_state.queue) if timed is None else timed


def _remove_waiting(owner_state: OwnerState, queued: QueuedAttempt) -> None:
    attempt = queued.hand_over.attempt
    del owner_state.waiting[attempt]
    record_ended(owner_state.log, attempt, ExecutionState.NEVER_STARTED)


def refuse_all_waiting(
    owner_state: OwnerState, reason: NotRunReason, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Refuse all waiting attempts."""
    while (queued := pop_any(owner_state, now)) is not None:
        refuse_waiting(owner_state, queued, reason, now, effects)
