"""Share an entry node's calls in flight among its services.

Half of the places are reserved in equal parts, one for each service; the other half goes to
whoever asks first. So a busy service may take what is idle, but never another's part.
"""

from collections.abc import Iterable

import msgspec

RESERVED_SHARE = 0.5


class ConcurrencyShare(msgspec.Struct):
    """Hold the calls in flight of each service of an entry node."""

    capacity: int
    reserved_per_service: int = 0
    shared_capacity: int = 0
    total_in_flight: int = 0
    shared_in_flight: int = 0
    in_flight: dict[str, int] = msgspec.field(default_factory=dict)


def set_services(share: ConcurrencyShare, names: Iterable[str]) -> None:
    """Take over the services; those that left keep no reserve for the calls they still have."""
    counts = dict.fromkeys(names, 0)
    service_count = len(counts)
    for name, count in share.in_flight.items():
        if count or name in counts:
            counts[name] = count
    share.in_flight = counts
    share.reserved_per_service = int(share.capacity * RESERVED_SHARE) // max(1, service_count)
    share.shared_capacity = share.capacity - share.reserved_per_service * service_count
    share.shared_in_flight = sum(
        max(0, count - share.reserved_per_service) for count in counts.values()
    )


def acquire_call(share: ConcurrencyShare, service: str, limit: int) -> bool:
    """Take a place for a call; `limit` is the service's own bound. Return False if none is free."""
    count = share.in_flight.get(service)
    if count is None or count >= limit or share.total_in_flight >= share.capacity:
        return False
    if count >= share.reserved_per_service:
        if share.shared_in_flight >= share.shared_capacity:
            return False
        share.shared_in_flight += 1
    share.in_flight[service] = count + 1
    share.total_in_flight += 1
    return True


def release_call(share: ConcurrencyShare, service: str) -> None:
    """Give back the place of a call that ended."""
    count = share.in_flight[service]
    if count > share.reserved_per_service:
        share.shared_in_flight -= 1
    share.in_flight[service] = count - 1
    share.total_in_flight -= 1
