"""Divide an entry node's capacity for calls in flight among its services.

Half of the capacity is reserved, in equal parts, for the services; the other half is shared and
allocated first come, first served. A busy service may thus use idle shared capacity, but never the
reserved part of another service.
"""

from collections.abc import Iterable

import msgspec

RESERVED_SHARE = 0.5


class ConcurrencyShare(msgspec.Struct):
    """Hold the calls in flight of each service of an entry node.

    `shared_in_flight` counts the calls beyond the reserved part of their service.
    """

    capacity: int
    reserved_per_service: int = 0
    shared_capacity: int = 0
    total_in_flight: int = 0
    shared_in_flight: int = 0
    in_flight: dict[str, int] = msgspec.field(default_factory=dict)


def set_services(share: ConcurrencyShare, names: Iterable[str]) -> None:
    """Set the services of the node.

    No capacity is reserved for removed services, but their calls in flight still count.
    """
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
    """Admit a call if capacity is free and the service is below `limit`; return False if not."""
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
    """Release the capacity of a call that ended."""
    count = share.in_flight[service]
    if count > share.reserved_per_service:
        share.shared_in_flight -= 1
    share.in_flight[service] = count - 1
    share.total_in_flight -= 1
