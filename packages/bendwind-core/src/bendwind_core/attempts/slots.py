"""Decide whether an upstream has capacity for one more attempt, and report its load."""

from bendwind_core.admission import (
    find_expected_send_at,
    find_limited_send_at,
    find_permitted_send_at,
    find_reported_limit,
    is_limited,
    must_wait,
)
from bendwind_core.attempts.owner_state import OwnerState, is_accepting
from bendwind_core.attempts.pace import find_remaining_phase_ms, is_slow
from bendwind_core.attempts.usual_times import estimate_remaining_run_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.world import LoadSample

# An upstream counts as stalled only if at least this many attempts run: a single one may just be
# long.
STALL_MIN_RUNNING = 2

# An upstream has stalled when this many attempts should have ended at the usual pace since the last
# one ended.
STALL_EXPECTED_ENDS = 3.0


def load_sample(owner_state: OwnerState, now: Seconds) -> LoadSample:
    """Return the current load of the upstream."""
    return LoadSample(
        in_flight=len(owner_state.running),
        queued=len(owner_state.waiting),
        slots=owner_state.slots,
        latency_ms=owner_state.service_times.average_ms,
        error_rate=owner_state.service_times.error_rate,
        draining=not is_accepting(owner_state),
        room_wait_ms=find_rate_wait_ms(owner_state, len(owner_state.waiting), now),
        wait_ms=estimate_new_attempt_wait_ms(owner_state, now),
        limit_per_s=find_reported_limit(owner_state.rate_limit),
        is_leaving=owner_state.is_leaving,
    )


def estimate_new_attempt_wait_ms(owner_state: OwnerState, now: Seconds) -> Milliseconds:
    """Estimate how long an average new attempt would wait to start at the usual pace."""
    phase_ms = (
        find_remaining_phase_ms(owner_state.pace, now) if is_slow(owner_state.pace, now) else 0.0
    )
    slots = max(1, owner_state.run_limit)
    if len(owner_state.running) + len(owner_state.waiting) < slots:
        return max(phase_ms, find_rate_wait_ms(owner_state, len(owner_state.waiting), now))
    remaining_runs_ms = [
        estimate_remaining_run_ms(owner_state, running, now)
        for running in owner_state.running.values()
    ]
    ahead_ms = len(owner_state.waiting) * owner_state.service_times.average_ms / slots
    slot_wait_ms = min(remaining_runs_ms, default=0.0) + ahead_ms
    return max(
        phase_ms, slot_wait_ms, find_rate_wait_ms(owner_state, len(owner_state.waiting), now)
    )


def has_capacity(owner_state: OwnerState, now: Seconds, slots: int | None = None) -> bool:
    """Return whether the upstream may be sent one more attempt now; `slots` is how many it may run.

    Without `slots`, the share of slots that requests use is the limit.
    """
    if len(owner_state.running) >= (owner_state.run_limit if slots is None else slots):
        return False
    # This function is called about thirty times for each attempt, and nearly all upstreams need no
    # spacing of requests.
    if owner_state.rate_limit.per_second is None and not must_wait(owner_state.warm_up, now):
        return True
    return _find_permitted_send_time(owner_state, now) <= now


def find_rate_wait_ms(owner_state: OwnerState, ahead: int, now: Seconds) -> Milliseconds:
    """Return how long an attempt waits for warm-up or the rate limit, regardless of free slots.

    `ahead` is the number of attempts that start before it. A cold upstream, and one that has named
    a rate limit, is sent one request at a time. An upstream that is not known to be cold is
    expected to prove that it is warm.
    """
    limited_at = find_limited_send_at(owner_state.rate_limit, ahead, now)
    expected_at = find_expected_send_at(owner_state.warm_up, ahead, now)
    return (max(limited_at, expected_at) - now) * MILLISECONDS_PER_SECOND


def _find_permitted_send_time(owner_state: OwnerState, now: Seconds) -> Seconds:
    return max(
        find_limited_send_at(owner_state.rate_limit, 0, now),
        find_permitted_send_at(owner_state.warm_up, 0, now),
    )


def next_permitted_send(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the next waiting attempt that has a slot may be sent, or None."""
    has_slot = len(owner_state.running) < min(owner_state.slots, owner_state.connections)
    if not owner_state.waiting or not has_slot:
        return None
    send_at = _find_permitted_send_time(owner_state, now)
    return send_at if send_at > now else None


def is_blocked_by_rate_limit(owner_state: OwnerState, now: Seconds) -> bool:
    """Return whether a slot is free for one more attempt but the rate limit does not allow it."""
    if not is_limited(owner_state.rate_limit):
        return False
    ahead = len(owner_state.waiting)
    has_slot = len(owner_state.running) < owner_state.run_limit
    return has_slot and find_limited_send_at(owner_state.rate_limit, ahead, now) > now


def is_stalled(owner_state: OwnerState, now: Seconds) -> bool:
    """Return whether the running attempts take much longer than usual."""
    if len(owner_state.running) < STALL_MIN_RUNNING:
        return False
    # Divided by the average time, this is the number of running attempts that would have ended at
    # the usual pace since the last one did.
    expected = (
        len(owner_state.running) * (now - owner_state.last_progress_at) * MILLISECONDS_PER_SECOND
    )
    return expected > STALL_EXPECTED_ENDS * owner_state.service_times.average_ms > 0.0
