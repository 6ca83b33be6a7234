"""Start attempts at an upstream and end them."""

from bendwind_core.admission import consume_token, record_request_sent, record_started
from bendwind_core.attempts.attempt_log import Fate, record_ended, record_live
from bendwind_core.attempts.messages import AttemptId
from bendwind_core.attempts.owner_events import Dispatch, OwnerEffect
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt, RunningAttempt
from bendwind_core.attempts.pace import find_factor, is_known
from bendwind_core.attempts.usual_times import find_usual_ms
from bendwind_core.core import Seconds
from bendwind_core.limits.customer_work import record_work


def mark_sent(owner_state: OwnerState, attempt: AttemptId, now: Seconds) -> None:
    """Note that a running attempt's request went out, at the first sign of it."""
    running = owner_state.running.get(attempt)
    if running is not None and not running.is_sent:
        running.is_sent = True
        record_request_sent(owner_state.warm_up, now)


def note_sent_again(owner_state: OwnerState, attempt: AttemptId, now: Seconds) -> None:
    """Count a request that goes out a second time, over another connection, for the limit too."""
    running = owner_state.running.get(attempt)
    if running is not None and running.is_sent:
        consume_token(owner_state.rate_limit, now)


def end_running(owner_state: OwnerState, attempt: AttemptId, fate: Fate) -> RunningAttempt | None:
    """Take a running attempt off the owner's state; return None if it was not there."""
    running = owner_state.running.pop(attempt, None)
    if running is not None:
        record_ended(owner_state.log, attempt, fate)
    return running


def start(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Give an attempt a slot and dispatch it."""
    hand_over = queued.hand_over
    record_live(owner_state.log, hand_over.attempt, Fate.RUNNING)
    if not owner_state.running:
        owner_state.progress_at = now
    running = RunningAttempt(
        queued.epoch,
        now,
        hand_over,
        find_factor(owner_state.pace, now),
        owner_state.pace.reported_at is not None and is_known(owner_state.pace, now),
        signature=queued.signature,
        is_suspect=queued.is_suspect,
        own_rank=queued.own_rank,
    )
    owner_state.running[hand_over.attempt] = running
    consume_token(owner_state.rate_limit, now)
    if not queued.is_inner:
        record_started(owner_state.rank_counts, hand_over.rank, now)
    record_work(
        owner_state.turns, hand_over.customer, find_usual_ms(owner_state, hand_over.route), now
    )
    effects.append(Dispatch(hand_over, queued.expires_at))
