"""Remember, in bounded memory, what an owner node's upstreams have served lately."""

import collections

import msgspec

from bendwind_core.core import Seconds

# Requests that come again and again are short; a hash of 4 KiB takes 2 us.
MAX_BODY_BYTES = 4096
# What is asked for more often than once among so many answers is remembered; 100 bytes each.
MAX_SERVED = 256
# An answer of longer ago says little of what the request does now.
SERVED_MAX_AGE: Seconds = 60.0


class ServedRequests(msgspec.Struct):
    """Hold when each of the newest requests was served, by a number that this process gives it."""

    at: collections.OrderedDict[int, Seconds] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def hash_request(method: str, target: bytes, body: bytes) -> int | None:
    """Return what is equal for equal requests, within this process; None for a long one."""
    return hash((method, target, body)) if len(body) <= MAX_BODY_BYTES else None


def record_served(served: ServedRequests, number: int | None, now: Seconds) -> None:
    """Remember that a request was answered with success."""
    if number is None:
        return
    served.at[number] = now
    served.at.move_to_end(number)
    if len(served.at) > MAX_SERVED:
        served.at.popitem(last=False)


def pop_served(served: ServedRequests, number: int | None, now: Seconds) -> bool:
    """Tell whether a request was served lately, and forget it."""
    at = None if number is None else served.at.pop(number, None)
    return at is not None and now - at < SERVED_MAX_AGE
