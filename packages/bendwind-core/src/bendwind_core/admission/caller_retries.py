"""Recognise a caller that retries after a refusal, and find when its first request arrived.

A caller that retries states its remaining timeout, so that its request looks like a new one, though
its answer may already be too late. But its timeout still elapses at the same moment, and it sends
the same request. A request that matches one that this node refused in both respects therefore
counts as a retry of it. A caller that this node did not refuse counts as new, however short the
timeout that it states.
"""

import msgspec

from bendwind_core.core import Seconds

# Largest difference between the ends of the timeouts of a refused request and of its retry. A retry
# may need a new connection, which delays it by some round trips between regions.
TIMEOUT_TOLERANCE: Seconds = 0.05
# Number of refused requests that a node stores, about 200 bytes each. Beyond it the oldest are
# removed.
MAX_REFUSED_CALLERS = 1024


class RequestIdentity(msgspec.Struct, frozen=True):
    """Identify the request that a caller sends."""

    route: str
    method: str
    target: bytes


class CallerTime(msgspec.Struct, frozen=True):
    """Hold when a caller's first request arrived, and when its timeout elapses.

    Units: seconds of the node's clock.
    """

    first_arrived_at: Seconds
    timeout_at: Seconds


class RefusedCallers(msgspec.Struct):
    """Hold the callers that this node refused recently, by their request."""

    times_by_request: dict[RequestIdentity, list[CallerTime]] = msgspec.field(default_factory=dict)
    size: int = 0


def record_refused_caller(
    callers: RefusedCallers,
    request: RequestIdentity,
    caller_time: CallerTime,
    now: Seconds,
) -> None:
    """Store a caller that was refused and asked to retry."""
    _remove_expired(callers, request, now)
    if callers.size >= MAX_REFUSED_CALLERS:
        oldest_request = next(iter(callers.times_by_request))
        _remove_oldest(callers, oldest_request, 1)
    callers.times_by_request.setdefault(request, []).append(caller_time)
    callers.size += 1


def _remove_expired(callers: RefusedCallers, request: RequestIdentity, now: Seconds) -> None:
    """Remove the callers whose timeout has elapsed; they are roughly in the order of refusal."""
    times = callers.times_by_request.get(request, [])
    expired_count = next(
        (index for index, time in enumerate(times) if time.timeout_at > now), len(times)
    )
    if expired_count:
        _remove_oldest(callers, request, expired_count)


def _remove_oldest(callers: RefusedCallers, request: RequestIdentity, count: int) -> None:
    times = callers.times_by_request[request]
    del times[:count]
    callers.size -= count
    if not times:
        del callers.times_by_request[request]


def pop_first_arrived_at(
    callers: RefusedCallers, request: RequestIdentity, now: Seconds, timeout_at: Seconds
) -> Seconds:
    """Return when the first request of the caller whose request has just arrived came in.

    The stored refusal that matches is removed, so that it accounts for one retry only. Without a
    match the request is new, and `now` is returned.
    """
    _remove_expired(callers, request, now)
    times = callers.times_by_request.get(request, [])
    matching = [time for time in times if abs(time.timeout_at - timeout_at) <= TIMEOUT_TOLERANCE]
    if not matching:
        return now
    closest = min(matching, key=lambda time: abs(time.timeout_at - timeout_at))
    times.remove(closest)
    callers.size -= 1
    if not times:
        del callers.times_by_request[request]
    return closest.first_arrived_at
