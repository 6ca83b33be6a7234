"""Decide whether an attempt with a latency objective may wait at its upstream, and when it starts.

A late answer is of little use to its caller, and its run occupies a slot that another attempt could
have used to be answered in time. An attempt that cannot start in time is therefore refused on
arrival, while there is time to try another upstream, and not when its time has run out.

An attempt that starts during a slow phase of the upstream stays slow until it ends, so a long
request should wait for the end of the phase. Load reports arrive with answers; the owner queries
the upstream for one if the last report is too old to rely on.
"""

from bendwind_core.attempts import pace as paces
from bendwind_core.attempts.messages import HandOver, NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, QueryLoad
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.attempts.precedence import (
    find_slot_limit,
    find_slot_reserved_until,
    list_ahead,
    list_in_start_order,
)
from bendwind_core.attempts.slots import find_rate_wait_ms, has_capacity
from bendwind_core.attempts.usual_times import estimate_remaining_run_ms, find_usual_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import urgency_queue

# Interval of load queries while attempts wait for a slow phase that lasts longer than usual.
LOAD_QUERY_INTERVAL: Seconds = 0.025
# A load report takes one round trip within the instance. If none arrives within this time, attempts
# start without it.
LOAD_QUERY_TIMEOUT: Seconds = 0.010
# A load query is not worthwhile if a start in a slow phase would delay the request by at most this.
MAX_RISK_WITHOUT_QUERY_MS: Milliseconds = 60.0
# An attempt that can still go to another upstream is accepted only if the estimated answer time is
# within this share of its time limit: estimates are means, and run times vary by about 30%.
REROUTABLE_TARGET_SHARE = 0.85
# If the time left is less than this share of the usual run time of an attempt, no other upstream is
# fast enough to answer it in time.
MIN_FEASIBLE_TIME_SHARE = 0.5


def can_start_immediately(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether an attempt that arrives now would start immediately, at the usual pace."""
    return is_next_to_start(owner_state, queued, now) and not paces.is_slow(owner_state.pace, now)


def is_next_to_start(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether there is capacity for a new attempt and nothing as urgent waits."""
    if not has_capacity(owner_state, now, find_slot_limit(owner_state, queued, now)):
        return False
    return not owner_state.queue.size and not urgency_queue.has_at_least_as_urgent(
        owner_state.timed_queue, queued.queue_rank
    )


def query_load_after_refusal(
    owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Query the upstream's load after a refusal as slow, for the decision on the next attempt."""
    # Until the length of its slow phases has been learnt, the upstream may be fast again long
    # before the assumed end.
    is_report_old = now - (owner_state.pace.reported_at or 0.0) >= LOAD_QUERY_INTERVAL
    if _may_query_load(owner_state) and is_report_old and paces.is_slow(owner_state.pace, now):
        _query_load(owner_state, now, effects)


def _may_query_load(owner_state: OwnerState) -> bool:
    """Return whether the upstream's load may be queried: a query counts towards its rate limit."""
    return owner_state.has_load_endpoint and owner_state.rate_limit.per_second is None


def _query_load(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Query the upstream's load, unless the last query was too recent."""
    if (
        owner_state.load_queried_at is not None
        and now < owner_state.load_queried_at + LOAD_QUERY_INTERVAL
    ):
        return
    owner_state.load_queried_at = now
    effects.append(QueryLoad())


def estimate_start_wait_ms(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> Milliseconds:
    """Estimate how long an attempt that arrives now would wait to start at the usual pace."""
    phase_ms = (
        paces.find_remaining_phase_ms(owner_state.pace, now)
        if paces.is_slow(owner_state.pace, now)
        else 0.0
    )
    return max(phase_ms, estimate_wait_ms(owner_state, queued, now))


def find_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> NotRunReason | None:
    """Return why an attempt with a latency objective should not be accepted, or None.

    An attempt that can still go to another upstream is also refused if it could start immediately
    but would be answered late.
    """
    hand_over = queued.hand_over
    is_free = has_capacity(owner_state, now, find_slot_limit(owner_state, queued, now))
    is_free = is_free and not urgency_queue.has_at_least_as_urgent(
        owner_state.timed_queue, queued.queue_rank
    )
    if is_free and (
        hand_over.accept_if_slow or _is_target_unreachable(owner_state, hand_over, now)
    ):
        return None
    expected_ms = estimate_completion_ms(owner_state, hand_over.route, now)
    wait_ms = 0.0 if is_free else estimate_wait_ms(owner_state, queued, now)
    share = 1.0 if hand_over.accept_if_slow else REROUTABLE_TARGET_SHARE
    is_slow = paces.is_slow(owner_state.pace, now)
    limit_ms = _find_time_limit_ms(queued)
    if is_slow and not hand_over.accept_if_slow:
        # Other upstreams may be at their usual pace.
        limit_ms = hand_over.target_ms
    if wait_ms + expected_ms <= share * limit_ms:
        return None
    return NotRunReason.STALLED if is_free else NotRunReason.QUEUE_FULL


def _is_target_unreachable(owner_state: OwnerState, hand_over: HandOver, now: Seconds) -> bool:
    """Return whether an attempt would be late at any upstream, as attempts of caller retries are.

    It may use a free slot that no other attempt needs, but it does not wait for one.
    """
    is_late = hand_over.target_ms < MIN_FEASIBLE_TIME_SHARE * _estimate_base_run_ms(
        owner_state, hand_over.route
    )
    return is_late and not paces.is_slow(owner_state.pace, now)


def _find_time_limit_ms(queued: QueuedAttempt) -> Milliseconds:
    """Return the time within which an attempt must be answered to be worth accepting."""
    hand_over = queued.hand_over
    if not queued.is_inner:
        return hand_over.target_ms
    # The run that waits for an inner call is wasted if the call is refused. With this longer limit,
    # failed requests under overload fell from 9.5% to 3.7% (one run each).
    return max(hand_over.remaining_ms, hand_over.target_ms)


def is_delayed_by_next_slow_phase(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> bool:
    """Return whether an attempt that waited for a slow phase to end should go to another upstream.

    Slow phases follow each other at random: an attempt that waits for the end of a second one is
    certainly late, while another upstream may be at its usual pace.
    """
    if queued.hand_over.accept_if_slow or queued.hand_over.target_ms is None:
        return False
    if (
        not paces.is_slow(owner_state.pace, now)
        or owner_state.pace.phase_began_at <= queued.queued_at
    ):
        return False
    usual_ms = _estimate_base_run_ms(owner_state, queued.hand_over.route)
    left_ms = (queued.due_at - now) * MILLISECONDS_PER_SECOND + usual_ms
    return estimate_completion_ms(owner_state, queued.hand_over.route, now) > left_ms


def find_refuse_at(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Seconds:
    """Return the time at which an attempt that still waits for a slot is refused."""
    slack_ms = _find_time_limit_ms(queued) - _estimate_base_run_ms(
        owner_state, queued.hand_over.route
    )
    return now + max(0.0, slack_ms) / MILLISECONDS_PER_SECOND


def find_latest_start(owner_state: OwnerState, hand_over: HandOver, now: Seconds) -> Seconds:
    """Return the time by which an attempt must start to be answered in time."""
    target_ms = hand_over.target_ms or 0.0
    slack_ms = target_ms - _estimate_base_run_ms(owner_state, hand_over.route)
    return now + slack_ms / MILLISECONDS_PER_SECOND


def estimate_completion_ms(owner_state: OwnerState, route: str, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt takes from now to its answer.

    It starts now or after the slow phase, whichever gives the earlier answer.
    """
    if not paces.is_slow(owner_state.pace, now):
        return _estimate_base_run_ms(owner_state, route)
    return min(
        _estimate_slow_run_ms(owner_state, route), _estimate_held_run_ms(owner_state, route, now)
    )


def _estimate_slow_run_ms(owner_state: OwnerState, route: str) -> Milliseconds:
    """Estimate how long an attempt takes that starts at the last reported pace."""
    return owner_state.pace.factor * find_usual_ms(owner_state, route)


def _estimate_held_run_ms(owner_state: OwnerState, route: str, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt takes that is held until the end of the present slow phase."""
    return paces.find_remaining_phase_ms(owner_state.pace, now) + _estimate_base_run_ms(
        owner_state, route
    )


def _estimate_base_run_ms(owner_state: OwnerState, route: str) -> Milliseconds:
    """Estimate how long an attempt takes outside slow phases."""
    return owner_state.pace.base * find_usual_ms(owner_state, route)


def should_start_now(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether an attempt should start now rather than after a slow phase or a new report."""
    pace = owner_state.pace
    route = queued.hand_over.route
    usual_ms = _estimate_base_run_ms(owner_state, route)
    if now >= queued.due_at:
        # The attempt is late in any case; waiting longer could hold it until its deadline.
        return True
    if paces.is_slow(pace, now):
        slow_ms = _estimate_slow_run_ms(owner_state, route)
        is_in_time = now + (slow_ms - usual_ms) / MILLISECONDS_PER_SECOND <= queued.due_at
        return is_in_time or slow_ms <= _estimate_held_run_ms(owner_state, route, now)
    risk_ms = (paces.DEFAULT_SLOW_FACTOR - 1.0) * usual_ms
    if paces.is_report_current(pace, now) or risk_ms <= MAX_RISK_WITHOUT_QUERY_MS:
        return True
    return _has_query_timed_out(owner_state, now) or not _may_query_load(owner_state)


def _has_query_timed_out(owner_state: OwnerState, now: Seconds) -> bool:
    if (
        owner_state.load_queried_at is None
        or owner_state.load_queried_at <= owner_state.pace.reported_at
    ):
        return False
    return now >= owner_state.load_queried_at + LOAD_QUERY_TIMEOUT


def pop_startable(owner_state: OwnerState, now: Seconds) -> QueuedAttempt | None:
    """Remove the most urgent attempt that may start now from its queue and return it, or None."""
    for queued in list_in_start_order(owner_state, now):
        has_slot = has_capacity(owner_state, now, find_slot_limit(owner_state, queued, now))
        if has_slot and should_start_now(owner_state, queued, now):
            urgency_queue.remove(owner_state.timed_queue, queued)
            return queued
    return None


def query_load_if_held(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Query the upstream's load while an attempt waits only for the upstream's pace."""
    if not _may_query_load(owner_state) or not _list_held(owner_state, now):
        return
    if not paces.is_report_current(owner_state.pace, now):
        _query_load(owner_state, now, effects)


def _list_held(owner_state: OwnerState, now: Seconds) -> list[QueuedAttempt]:
    """List the attempts that wait although a slot is free for them."""
    return [
        entry.item
        for entry in owner_state.timed_queue.entries
        if has_capacity(owner_state, now, find_slot_limit(owner_state, entry.item, now))
    ]


def next_recheck(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the attempts that are held must be checked again, or None."""
    checks = _find_next_pace_check(owner_state, now), _find_next_slot_release(owner_state, now)
    return min((check for check in checks if check is not None), default=None)


def _find_next_pace_check(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when to recheck the attempts that wait only for the upstream's pace, or None."""
    held = _list_held(owner_state, now)
    if not held:
        return None
    if paces.is_slow(owner_state.pace, now):
        return min(paces.find_phase_end(owner_state.pace), *(queued.due_at for queued in held))
    if owner_state.load_queried_at is None:
        return now
    is_query_pending = now < owner_state.load_queried_at + LOAD_QUERY_TIMEOUT
    return owner_state.load_queried_at + (
        LOAD_QUERY_TIMEOUT if is_query_pending else LOAD_QUERY_INTERVAL
    )


def _find_next_slot_release(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the reserved last slot is released to a less urgent waiting attempt, or None."""
    if not has_capacity(owner_state, now):
        return None
    reserved_until = [
        find_slot_reserved_until(owner_state, entry.item)
        for entry in owner_state.timed_queue.entries
    ]
    return min((until for until in reserved_until if until > now), default=None)


def estimate_wait_ms(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt that arrives now waits for a slot, warm-up and the rate limit.

    Only the attempts that start before it count.
    """
    ahead = list_ahead(owner_state, queued, now)
    return _estimate_wait_behind_ms(
        owner_state, ahead, max(1, find_slot_limit(owner_state, queued, now)), now
    )


def list_unstartable(
    owner_state: OwnerState, new_attempt: QueuedAttempt, now: Seconds
) -> list[QueuedAttempt]:
    """List the attempts behind a new one that can no longer start before they would be refused.

    They should be refused immediately, while there is time to try another upstream.
    """
    if not urgency_queue.has_less_urgent(owner_state.timed_queue, new_attempt.queue_rank):
        return []
    unstartable: list[QueuedAttempt] = []
    ahead: list[QueuedAttempt] = []
    for queued in list_in_start_order(owner_state, now):
        if queued.queue_rank > new_attempt.queue_rank and _cannot_start_in_time(
            owner_state, queued, ahead, now
        ):
            unstartable.append(queued)
        else:
            ahead.append(queued)
    return unstartable


def _cannot_start_in_time(
    owner_state: OwnerState, queued: QueuedAttempt, ahead: list[QueuedAttempt], now: Seconds
) -> bool:
    wait_ms = _estimate_wait_behind_ms(
        owner_state, ahead, max(1, find_slot_limit(owner_state, queued, now)), now
    )
    return now + wait_ms / MILLISECONDS_PER_SECOND > queued.refuse_at


def _estimate_wait_behind_ms(
    owner_state: OwnerState, ahead: list[QueuedAttempt], slots: int, now: Seconds
) -> Milliseconds:
    ahead_ms = sum(_estimate_base_run_ms(owner_state, queued.hand_over.route) for queued in ahead)
    ahead_ms += owner_state.queue.size * owner_state.service_times.average_ms
    remaining_runs_ms = [
        estimate_remaining_run_ms(owner_state, running, now)
        for running in owner_state.running.values()
    ]
    first_free_ms = min(remaining_runs_ms, default=0.0) if len(remaining_runs_ms) >= slots else 0.0
    slot_wait_ms = first_free_ms + ahead_ms / slots
    return max(
        slot_wait_ms, find_rate_wait_ms(owner_state, len(ahead) + owner_state.queue.size, now)
    )
