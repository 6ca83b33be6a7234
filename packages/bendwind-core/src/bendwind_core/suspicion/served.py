"""Store in bounded memory which requests an owner node's upstreams served recently."""

import collections

import msgspec

from bendwind_core.core import Seconds

# Requests that are repeated often have short bodies. Hashing 4 KiB takes 2 us.
MAX_BODY_BYTES = 4096
# A request that recurs at least once within this number of answers stays stored. Each takes 100
# bytes.
MAX_SERVED = 256
# An older answer says little about the effect of the request now.
SERVED_MAX_AGE: Seconds = 60.0


class ServedRequests(msgspec.Struct):
    """Hold the times when the newest requests were served.

    The key is a hash of the request that only this process uses.
    """

    at: collections.OrderedDict[int, Seconds] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def hash_request(method: str, target: bytes, body: bytes) -> int | None:
    """Return a hash that is equal for equal requests within this process; None for a long body."""
    return hash((method, target, body)) if len(body) <= MAX_BODY_BYTES else None


def record_served(served: ServedRequests, request_hash: int | None, now: Seconds) -> None:
    """Record that a request was answered with success."""
    if request_hash is None:
        return
    served.at[request_hash] = now
    served.at.move_to_end(request_hash)
    if len(served.at) > MAX_SERVED:
        served.at.popitem(last=False)


def pop_served(served: ServedRequests, request_hash: int | None, now: Seconds) -> bool:
    """Return whether a request was served recently, and remove its record."""
    at = None if request_hash is None else served.at.pop(request_hash, None)
    return at is not None and now - at < SERVED_MAX_AGE
