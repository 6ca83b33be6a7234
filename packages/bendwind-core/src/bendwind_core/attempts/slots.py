"""Decide whether an upstream bears one more attempt, and tell its load."""

from bendwind_core.admission import (
    find_cold_send_at,
    find_limited_send_at,
    find_reported_limit,
    is_cold,
    is_limited,
)
from bendwind_core.attempts.owner_state import OwnerState, is_open
from bendwind_core.attempts.pace import find_rest_ms, is_slow
from bendwind_core.attempts.usual_times import find_run_rest_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.world import LoadSample

# Attempts that must be running for an upstream to count as stalled: one alone may just be long.
STALL_RUNNING = 2

# It has stalled when so many should have ended at the usual pace since the last one did.
STALL_EXPECTED = 3.0


def load_sample(owner_state: OwnerState, now: Seconds) -> LoadSample:
    """Count the load as of now."""
    return LoadSample(
        in_flight=len(owner_state.running),
        queued=len(owner_state.waiting),
        slots=owner_state.slots,
        latency_ms=owner_state.times.average_ms,
        error_rate=owner_state.times.error_rate,
        draining=not is_open(owner_state),
        room_wait_ms=find_room_wait_ms(owner_state, len(owner_state.waiting), now),
        wait_ms=find_free_wait_ms(owner_state, now),
        limit_per_s=find_reported_limit(owner_state.rate_limit),
        is_leaving=owner_state.is_leaving,
    )


def find_free_wait_ms(owner_state: OwnerState, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt that came now would wait until it starts at the usual pace."""
    phase_ms = find_rest_ms(owner_state.pace, now) if is_slow(owner_state.pace, now) else 0.0
    slots = max(1, owner_state.run_limit)
    if len(owner_state.running) + len(owner_state.waiting) < slots:
        return max(phase_ms, find_room_wait_ms(owner_state, len(owner_state.waiting), now))
    rests = [
        find_run_rest_ms(owner_state, running, now) for running in owner_state.running.values()
    ]
    ahead_ms = len(owner_state.waiting) * owner_state.times.average_ms / slots
    slot_wait_ms = min(rests, default=0.0) + ahead_ms
    return max(
        phase_ms, slot_wait_ms, find_room_wait_ms(owner_state, len(owner_state.waiting), now)
    )


def has_room(owner_state: OwnerState, now: Seconds, slots: int | None = None) -> bool:
    """Tell whether the upstream may be sent one more attempt now; `slots` is how many it may run.

    Without `slots` the share holds that is used for requests.
    """
    if len(owner_state.running) >= (owner_state.run_limit if slots is None else slots):
        return False
    # Asked some thirty times for each attempt, at upstreams of which nearly all need no turns.
    if owner_state.rate_limit.per_second is None and not is_cold(owner_state.warm_up, now):
        return True
    return _find_room_at(owner_state, 0, now) <= now


def find_room_wait_ms(owner_state: OwnerState, ahead: int, now: Seconds) -> Milliseconds:
    """Return how long an attempt with so many ahead of it waits for a turn, slots left aside.

    A cold upstream, and one that has named a limit, is sent one request at a time.
    """
    return (_find_room_at(owner_state, ahead, now) - now) * MILLISECONDS_PER_SECOND


def _find_room_at(owner_state: OwnerState, ahead: int, now: Seconds) -> Seconds:
    turn_at = find_limited_send_at(owner_state.rate_limit, ahead, now)
    if not is_cold(owner_state.warm_up, now):
        return turn_at
    has_unsent = any(not running.is_sent for running in owner_state.running.values())
    return max(turn_at, find_cold_send_at(owner_state.warm_up, ahead, now, has_unsent=has_unsent))


def next_room(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the next waiting attempt that has a slot gets its turn, or None."""
    has_slot = len(owner_state.running) < min(owner_state.slots, owner_state.connections)
    if not owner_state.waiting or not has_slot:
        return None
    room_at = _find_room_at(owner_state, 0, now)
    return room_at if room_at > now else None


def is_kept_back_by_limit(owner_state: OwnerState, now: Seconds) -> bool:
    """Tell whether the upstream has a slot for one more attempt, but its limit does not."""
    if not is_limited(owner_state.rate_limit):
        return False
    ahead = len(owner_state.waiting)
    has_slot = len(owner_state.running) < owner_state.run_limit
    return has_slot and find_limited_send_at(owner_state.rate_limit, ahead, now) > now


def is_stalled(owner_state: OwnerState, now: Seconds) -> bool:
    """Tell whether the running attempts take much longer than usual."""
    # At the usual pace, this many of the running attempts would have ended since the last one did.
    if len(owner_state.running) < STALL_RUNNING:
        return False
    expected = len(owner_state.running) * (now - owner_state.progress_at) * MILLISECONDS_PER_SECOND
    return expected > STALL_EXPECTED * owner_state.times.average_ms > 0.0
