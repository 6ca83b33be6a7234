"""Start attempts at an upstream and end them."""

from bendwind_core.admission import (
    consume_token,
    has_room_again,
    record_dispatched,
    record_no_longer_unsent,
    record_request_sent,
    record_started,
)
from bendwind_core.attempts.attempt_log import ExecutionState, record_ended, record_live
from bendwind_core.attempts.messages import AttemptId
from bendwind_core.attempts.owner_events import Dispatch, OwnerEffect
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt, RunningAttempt
from bendwind_core.attempts.pace import find_factor, is_report_current
from bendwind_core.attempts.usual_times import find_usual_ms
from bendwind_core.core import Seconds
from bendwind_core.limits.customer_work import record_work


def mark_sent(owner_state: OwnerState, attempt: AttemptId, now: Seconds) -> None:
    """Mark a running attempt's request as sent, at the first event that implies it."""
    running = owner_state.running.get(attempt)
    if running is not None and not running.is_sent:
        running.is_sent = True
        record_no_longer_unsent(owner_state.warm_up)
        record_request_sent(owner_state.warm_up, now)


def handle_sent(owner_state: OwnerState, attempt: AttemptId, now: Seconds) -> None:
    """Count a request that was sent, or sent again, over another connection."""
    running = owner_state.running.get(attempt)
    if running is not None and running.is_sent:
        consume_token(owner_state.rate_limit, now)
        record_request_sent(owner_state.warm_up, now)
    mark_sent(owner_state, attempt, now)


def may_send_again(owner_state: OwnerState, attempt: AttemptId, now: Seconds) -> bool:
    """Return whether a request whose connection broke may be sent over another one now.

    If so, its place is kept: another request that asks before it is sent finds it taken.
    """
    running = owner_state.running.get(attempt)
    if running is None:
        return False
    # The upstream may have read the request before the connection broke.
    mark_sent(owner_state, attempt, now)
    if not running.hand_over.may_send_again or not has_room_again(owner_state.warm_up, now):
        return False
    consume_token(owner_state.rate_limit, now)
    record_dispatched(owner_state.warm_up)
    running.is_sent = False
    running.is_sent_again = True
    return True


def end_attempt(
    owner_state: OwnerState, attempt: AttemptId, state: ExecutionState
) -> RunningAttempt | None:
    """Remove a running attempt from the owner's state; return None if it was not running."""
    running = owner_state.running.pop(attempt, None)
    if running is not None:
        if not running.is_sent:
            record_no_longer_unsent(owner_state.warm_up)
        record_ended(owner_state.log, attempt, state)
    return running


def start_attempt(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Assign a slot to an attempt and dispatch it."""
    hand_over = queued.hand_over
    record_live(owner_state.log, hand_over.attempt, ExecutionState.RUNNING)
    if not owner_state.running:
        owner_state.last_progress_at = now
    running = RunningAttempt(
        queued.epoch,
        now,
        hand_over,
        find_factor(owner_state.pace, now),
        owner_state.pace.reported_at is not None and is_report_current(owner_state.pace, now),
        signature=queued.signature,
        is_suspect=queued.is_suspect,
        effective_rank=queued.effective_rank,
    )
    owner_state.running[hand_over.attempt] = running
    record_dispatched(owner_state.warm_up)
    consume_token(owner_state.rate_limit, now)
    if not queued.is_inner:
        record_started(owner_state.rank_counts, hand_over.rank, now)
    record_work(
        owner_state.customer_work,
        hand_over.customer,
        find_usual_ms(owner_state, hand_over.route),
        now,
    )
    effects.append(Dispatch(hand_over, queued.expires_at))
