"""Distinguish inner calls, which upstreams make while they run a request, by their origin.

An upstream sends its calls to the entry node on its own instance. The calls of one service's
upstreams therefore all come from instances of that service, while callers' requests come from
instances of several services. A run whose call is refused is wasted, so that inner calls may wait
longer than callers' requests.
"""

import msgspec

# Number of requests from which the origins of a route are evaluated.
MIN_REQUESTS = 20
# When a route has this number of counted requests its counts are halved, so that newer requests
# weigh more.
HALVING_COUNT = 256
# The requests of a route are inner calls if at least this share of them has one origin,
MIN_INNER_SHARE = 0.98
# and at most this share of the other routes' requests has the same origin.
MAX_OTHERS_SHARE = 0.8
# Number of routes that are counted separately. Beyond it the oldest are removed.
MAX_ROUTES = 256


class RouteOrigins(msgspec.Struct):
    """Hold the request counts of each route by the service that runs beside the entry node."""

    counts: dict[str, dict[str, float]] = msgspec.field(default_factory=dict)


def record_origin(origins: RouteOrigins, route: str, origin: str) -> None:
    """Count one request; the origin is empty if no upstream runs beside its entry node."""
    counts = origins.counts.get(route)
    if counts is None:
        if len(origins.counts) >= MAX_ROUTES:
            origins.counts.pop(next(iter(origins.counts)))
        counts = origins.counts.setdefault(route, {})
    counts[origin] = counts.get(origin, 0.0) + 1.0
    if sum(counts.values()) >= HALVING_COUNT:
        origins.counts[route] = {name: count / 2 for name, count in counts.items() if count >= 1.0}


def is_inner_call(origins: RouteOrigins, route: str) -> bool:
    """Return whether a route's requests are calls that upstreams make while they run others."""
    own_counts = origins.counts.get(route, {})
    own_total = sum(own_counts.values())
    if own_total < MIN_REQUESTS:
        return False
    origin = max(own_counts, key=own_counts.get)
    if not origin or own_counts[origin] < MIN_INNER_SHARE * own_total:
        return False
    other_routes = [counts for name, counts in origins.counts.items() if name != route]
    others_total = sum(sum(counts.values()) for counts in other_routes)
    others_same_origin = sum(counts.get(origin, 0.0) for counts in other_routes)
    return others_total >= MIN_REQUESTS and others_same_origin <= MAX_OTHERS_SHARE * others_total
