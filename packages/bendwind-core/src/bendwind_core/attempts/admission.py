"""Decide whether an attempt with a latency objective may wait at its upstream.

An upstream that answers late earns its caller little and takes a slot from one that could be
answered in time. What cannot start in time is therefore refused on arrival, while there is time to
try elsewhere, rather than when its time is up.
"""

from bendwind_core.attempts.desk import OwnerDesk, QueuedAttempt, has_slot
from bendwind_core.attempts.messages import HandOver, NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import urgency_queue

# An upstream that just said it is slowed by its neighbours stays so for some tenths of a second:
# docs/measurements tells nothing better yet, so a report is believed for half of that.
SLOW_REPORT_LIFE: Seconds = 0.1
# What such a phase adds to one answer on average: its rest passes at a fraction of the speed.
SLOW_PHASE_COST_MS: Milliseconds = 80.0
# Below this a report is taken for the usual scatter.
SLOW_FACTOR = 1.5
# A running attempt that took longer than expected is expected to need this share once more.
OVERDUE_SHARE = 0.25


def find_refusal(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> NotRunReason | None:
    """Return why an attempt had better not be taken, or None.

    An attempt that does not insist is also refused where it could start at once but would be late.
    """
    if hand_over.target_ms is None:
        return None
    is_free = has_slot(desk) and not len(desk.timed)
    if is_free and hand_over.insist:
        return None
    expected_ms = find_expected_ms(desk, hand_over.route, now)
    wait_ms = 0.0 if is_free else find_wait_ms(desk, find_due(desk, hand_over, now), now)
    # A short request holds up the others little, and may be a call that a longer one waits for.
    is_short = expected_ms <= desk.times.average_ms
    limit_ms = hand_over.remaining_ms if is_short and hand_over.insist else hand_over.target_ms
    if wait_ms + expected_ms <= limit_ms:
        return None
    return NotRunReason.STALLED if is_free else NotRunReason.QUEUE_FULL


def find_due(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> Seconds:
    """Return the time at which an attempt should start for its answer to be in time."""
    target_ms = hand_over.target_ms or 0.0
    slack_ms = target_ms - find_expected_ms(desk, hand_over.route, now)
    return now + slack_ms / MILLISECONDS_PER_SECOND


def find_expected_ms(desk: OwnerDesk, route: str, now: Seconds) -> Milliseconds:
    """Return how long an attempt of a route is expected to run."""
    usual_ms = desk.route_times.get(route, desk.times.average_ms)
    return usual_ms + SLOW_PHASE_COST_MS if is_slowed(desk, now) else usual_ms


def is_slowed(desk: OwnerDesk, now: Seconds) -> bool:
    """Tell whether the upstream lately said that its work takes longer than usual."""
    return desk.slow_factor >= SLOW_FACTOR and now - desk.slow_at < SLOW_REPORT_LIFE


def find_wait_ms(desk: OwnerDesk, due: Seconds, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt due at a time waits for a slot."""
    slots = max(1, desk.run_limit)
    ahead = urgency_queue.list_before(desk.timed, due)
    ahead_ms = sum(_find_usual_ms(desk, queued) for queued in ahead)
    ahead_ms += desk.queue.size * desk.times.average_ms
    rests = [_find_rest_ms(desk, running, now) for running in desk.running.values()]
    first_free_ms = min(rests, default=0.0) if len(rests) >= slots else 0.0
    return first_free_ms + ahead_ms / slots


def _find_usual_ms(desk: OwnerDesk, queued: QueuedAttempt) -> Milliseconds:
    return desk.route_times.get(queued.hand_over.route, desk.times.average_ms)


def _find_rest_ms(desk: OwnerDesk, running, now: Seconds) -> Milliseconds:
    usual_ms = desk.route_times.get(running.route, desk.times.average_ms)
    elapsed_ms = (now - running.started_at) * MILLISECONDS_PER_SECOND
    return max(usual_ms - elapsed_ms, OVERDUE_SHARE * usual_ms)
