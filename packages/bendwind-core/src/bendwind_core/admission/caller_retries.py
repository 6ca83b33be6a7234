"""Tell how long a caller has been trying that this node refused and that has come back.

A caller that comes back states what is left of its time, so that its request looks like a new one
though its answer would be late already. Its time still ends at the same moment, and it asks for the
same thing: a request that agrees in both with one that was refused here is taken for its return.
Whoever was not refused here is a newcomer, however short the timeout that it states.
"""

import msgspec

from bendwind_core.core import Seconds

# The way to the node takes a returning caller longer than before by up to a new connection, some
# round trips between regions.
TIMEOUT_TOLERANCE: Seconds = 0.05
# Refused requests that a node remembers, about 200 bytes each; of more, the oldest are forgotten.
MAX_REFUSED_CALLERS = 1024


class RequestIdentity(msgspec.Struct, frozen=True):
    """Name what a caller asks for."""

    route: str
    method: str
    target: bytes


class CallerTime(msgspec.Struct, frozen=True):
    """Hold when a caller began to try, and when its time ends.

    Units: seconds of the node's clock.
    """

    first_arrived_at: Seconds
    timeout_at: Seconds


class RefusedCallers(msgspec.Struct):
    """Remember the callers that this node refused lately, by what they asked for."""

    times_by_request: dict[RequestIdentity, list[CallerTime]] = msgspec.field(default_factory=dict)
    size: int = 0


def record_refused_caller(
    callers: RefusedCallers,
    request: RequestIdentity,
    caller_time: CallerTime,
    now: Seconds,
) -> None:
    """Remember a caller that was told to come back."""
    _remove_expired(callers, request, now)
    if callers.size >= MAX_REFUSED_CALLERS:
        oldest_request = next(iter(callers.times_by_request))
        _remove_oldest(callers, oldest_request, 1)
    callers.times_by_request.setdefault(request, []).append(caller_time)
    callers.size += 1


def _remove_expired(callers: RefusedCallers, request: RequestIdentity, now: Seconds) -> None:
    """Forget the callers whose time is over, which are about in the order of their refusals."""
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
    """Return when the caller of a request that has just arrived began to try.

    A remembered try is taken out, so that it explains one return only.
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
