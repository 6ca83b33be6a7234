"""Count who is served when there is too little: by kind of request and by customer."""

import collections
from collections.abc import Iterable

import msgspec

# Of a customer with fewer requests the share that is served says little.
LEAST_REQUESTS = 20


class Served(msgspec.Struct):
    """Hold how many requests there were, how many were served, and how many of these in time."""

    requests: int = 0
    served: int = 0
    in_time: int = 0

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.served / max(1, self.requests)

    @property
    def share_in_time(self) -> float:
        """Return the share that was served in time."""
        return self.in_time / max(1, self.requests)


class Fairness(msgspec.Struct):
    """Hold what was served of each kind of request, by rank, and of each customer."""

    kinds: dict[tuple[int, str], Served] = msgspec.field(
        default_factory=lambda: collections.defaultdict(Served)
    )
    customers: dict[str, Served] = msgspec.field(
        default_factory=lambda: collections.defaultdict(Served)
    )


def note_end(
    fairness: Fairness, rank: int, route: str, customer: str, *, is_served: bool, is_in_time: bool
) -> None:
    """Count what became of one request."""
    counted = [fairness.kinds[rank, route]]
    if customer:
        counted.append(fairness.customers[customer])
    for served in counted:
        served.requests += 1
        served.served += is_served
        served.in_time += is_in_time


def find_urgent(fairness: Fairness) -> float:
    """Return the share in time of the most urgent kinds."""
    most_urgent = min((rank for rank, _ in fairness.kinds), default=0)
    return _join(kind for (rank, _), kind in fairness.kinds.items() if rank == most_urgent)


def find_put_behind(fairness: Fairness, services: dict[str, str]) -> float:
    """Return by how much a kind is served oftener than a more urgent one of its service, at most.

    `services` names the service of each route.
    """
    most = 0.0
    for (rank, route), kind in fairness.kinds.items():
        for (other_rank, other), behind in fairness.kinds.items():
            if rank > other_rank and services[route] == services[other]:
                most = max(most, kind.share - behind.share)
    return most


def find_least_kind(fairness: Fairness) -> float:
    """Return how often the worst-served kind is served, as a share of how often all are."""
    return _find_least(fairness, fairness.kinds.values())


def find_least_customer(fairness: Fairness) -> float:
    """Return how often the worst-served customer is served, as a share of how often all are."""
    return _find_least(fairness, fairness.customers.values())


def _find_least(fairness: Fairness, parts: Iterable[Served]) -> float:
    kinds = fairness.kinds.values()
    overall = sum(kind.served for kind in kinds) / max(1, sum(kind.requests for kind in kinds))
    shares = [part.share for part in parts if part.requests >= LEAST_REQUESTS]
    return min(shares) / overall if shares and overall else 1.0


def find_others(fairness: Fairness, hot: Iterable[str]) -> float:
    """Return the share in time of the customers that sent no more than their usual."""
    excluded = set(hot)
    return _join(one for name, one in fairness.customers.items() if name not in excluded)


def _join(parts: Iterable[Served]) -> float:
    parts = list(parts)
    return sum(part.in_time for part in parts) / max(1, sum(part.requests for part in parts))
