"""Refuse attempts that never start, and find when those that wait do."""

from bendwind_core.attempts.attempt_log import Fate, record_ended
from bendwind_core.attempts.desk import OwnerDesk, QueuedAttempt
from bendwind_core.attempts.messages import AttemptId, HandOver, NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, ReplyNotRun
from bendwind_core.attempts.slots import load_sample
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits import fair_queue, urgency_queue


def find_end(queued: QueuedAttempt) -> Seconds:
    """Return when a waiting attempt that has not started is refused."""
    if queued.hand_over.target_ms is None:
        return queued.expires_at
    return min(queued.expires_at, queued.leaves_at)


def next_expiry(desk: OwnerDesk) -> Seconds | None:
    """Return when the next waiting attempt expires or is refused, or None."""
    if not desk.waiting:
        return None
    due = min(find_end(queued) for queued in desk.waiting.values())
    if desk.bounce_queue_at is not None:
        due = min(due, desk.bounce_queue_at)
    return due


def refuse(
    desk: OwnerDesk,
    attempt: AttemptId,
    epoch: int,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
    hand_over: HandOver | None = None,
    wait_ms: Milliseconds | None = None,
    waited: Seconds | None = None,
) -> None:
    """Reply that an attempt did not run; it must be known never to start."""
    sample = load_sample(desk, now)
    effects.append(ReplyNotRun(attempt, epoch, reason, sample, hand_over, wait_ms, waited))


def drop_waiting(
    desk: OwnerDesk,
    queued: QueuedAttempt,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    """Take an attempt, already out of the queue, off the desk and refuse it."""
    _forget_waiting(desk, queued)
    hand_over = queued.hand_over
    waited = now - queued.queued_at
    refuse(desk, hand_over.attempt, queued.epoch, reason, now, effects, hand_over, waited=waited)


def fence_waiting(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    """Take a queued attempt off the desk without a reply."""
    take_off_queue(desk, queued)
    _forget_waiting(desk, queued)


def take_off_queue(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    """Take an attempt out of the queue that it waits in."""
    if queued.hand_over.target_ms is None:
        fair_queue.remove(desk.queue, queued.hand_over.attempt.entry, queued)
    else:
        urgency_queue.remove(desk.timed, queued)


def take_any(desk: OwnerDesk, now: Seconds) -> QueuedAttempt | None:
    """Take the next attempt out of its queue, whether it may start or not, or None."""
    timed = urgency_queue.pop(desk.timed, now)
    return fair_queue.pop(desk.queue) if timed is None else timed


def _forget_waiting(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    attempt = queued.hand_over.attempt
    del desk.waiting[attempt]
    record_ended(desk.log, attempt, Fate.NEVER_STARTED)


def bounce_queue(
    desk: OwnerDesk, reason: NotRunReason, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Refuse everything that waits."""
    while (queued := take_any(desk, now)) is not None:
        drop_waiting(desk, queued, reason, now, effects)
