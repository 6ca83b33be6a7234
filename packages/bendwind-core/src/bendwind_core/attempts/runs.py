"""Start attempts at an upstream and end them."""

from bendwind_core.admission import note_sent, note_started
from bendwind_core.attempts.attempt_log import Fate, record_ended, record_live
from bendwind_core.attempts.desk import OwnerDesk, QueuedAttempt, RunningAttempt
from bendwind_core.attempts.messages import AttemptId
from bendwind_core.attempts.owner_events import Dispatch, OwnerEffect
from bendwind_core.attempts.pace import find_factor, is_known
from bendwind_core.attempts.usual_times import find_usual_ms
from bendwind_core.core import Seconds
from bendwind_core.limits.turns import note_work


def mark_sent(desk: OwnerDesk, attempt: AttemptId, now: Seconds) -> None:
    """Note that a running attempt's request went out, at the first sign of it."""
    running = desk.running.get(attempt)
    if running is not None and not running.is_sent:
        running.is_sent = True
        note_sent(desk.warm_up, now)


def end_running(desk: OwnerDesk, attempt: AttemptId, fate: Fate) -> RunningAttempt | None:
    """Take a running attempt off the desk; return None if it was not there."""
    running = desk.running.pop(attempt, None)
    if running is not None:
        record_ended(desk.log, attempt, fate)
    return running


def start(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Give an attempt a slot and dispatch it."""
    hand_over = queued.hand_over
    record_live(desk.log, hand_over.attempt, Fate.RUNNING)
    if not desk.running:
        desk.progress_at = now
    running = RunningAttempt(
        queued.epoch,
        now,
        hand_over,
        find_factor(desk.pace, now),
        desk.pace.reported_at is not None and is_known(desk.pace, now),
        signature=queued.signature,
        is_suspect=queued.is_suspect,
        own_rank=queued.own_rank,
    )
    desk.running[hand_over.attempt] = running
    if not queued.is_inner:
        note_started(desk.rank_counts, hand_over.rank, now)
    note_work(desk.turns, hand_over.customer, find_usual_ms(desk, hand_over.route), now)
    effects.append(Dispatch(hand_over, queued.expires_at))
