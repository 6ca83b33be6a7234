"""Apply changes of an upstream's rate limit, and refuse attempts that it delays for too long."""

from bendwind_core.admission import (
    LimitChange,
    assign_retry_at,
    find_limited_send_at,
    is_limited,
    record_carried_limit,
)
from bendwind_core.attempts.messages import HandOver, NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, RateLimitChanged
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.attempts.precedence import list_in_start_order
from bendwind_core.attempts.refusals import find_expiry, refuse_waiting, remove_from_queue
from bendwind_core.attempts.retry_after import MAX_RETRY_AFTER_MS
from bendwind_core.attempts.slots import is_blocked_by_rate_limit
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import fair_queue

# Refusal reasons that state a lack of capacity, which may be due to the rate limit.
_CAPACITY_REASONS = frozenset({NotRunReason.BUSY, NotRunReason.QUEUE_FULL})


def apply_limit_change(
    owner_state: OwnerState, change: LimitChange | None, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Report a change of the limit, if any, and refuse attempts that would wait too long for it."""
    if change is None:
        return
    effects.append(RateLimitChanged(change, owner_state.rate_limit.per_second))
    if is_limited(owner_state.rate_limit):
        _refuse_late(owner_state, now, effects)


def apply_carried_limit(
    owner_state: OwnerState, hand_over: HandOver, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Apply the limit that an entry node received before this owner did."""
    if hand_over.limit_per_s is not None and not owner_state.rate_limit.has_read_answer:
        change = record_carried_limit(owner_state.rate_limit, hand_over.limit_per_s, now)
        apply_limit_change(owner_state, change, now, effects)


def _refuse_late(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Refuse attempts that the limit delays beyond their expiry while they can go elsewhere."""
    ahead = 0
    for queued in list_in_start_order(owner_state, now):
        if find_limited_send_at(owner_state.rate_limit, ahead, now) <= find_expiry(queued):
            ahead += 1
        else:
            _refuse_limited(owner_state, queued, now, effects)
    refuse_overtaken(owner_state, now, effects)


def refuse_overtaken(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Refuse attempts without an objective that the limit delays until their deadline.

    What arrives later may start before them: attempts with an objective, and those of other entry
    nodes by turns.
    """
    if not is_limited(owner_state.rate_limit):
        return
    ahead = len(owner_state.timed_queue)
    for queued in fair_queue.list_in_order(owner_state.queue):
        if find_limited_send_at(owner_state.rate_limit, ahead, now) < queued.expires_at:
            ahead += 1
        else:
            _refuse_limited(owner_state, queued, now, effects)


def _refuse_limited(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    remove_from_queue(owner_state, queued)
    wait_ms = assign_retry_wait_ms(owner_state, now)
    refuse_waiting(owner_state, queued, NotRunReason.LIMITED, now, effects, wait_ms)


def resolve_refusal_reason(
    owner_state: OwnerState, reason: NotRunReason, now: Seconds
) -> NotRunReason:
    """Return why an attempt is refused: the rate limit if it leaves no capacity, else `reason`."""
    is_limit = reason in _CAPACITY_REASONS and is_blocked_by_rate_limit(owner_state, now)
    return NotRunReason.LIMITED if is_limit else reason


def assign_retry_wait_ms(owner_state: OwnerState, now: Seconds) -> Milliseconds:
    """Return after how long the caller of an attempt that the rate limit excludes should retry."""
    longest = MAX_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    return (assign_retry_at(owner_state.rate_limit, now, longest) - now) * MILLISECONDS_PER_SECOND
