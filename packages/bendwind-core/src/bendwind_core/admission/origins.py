"""Tell the calls that upstreams make from those of callers, by where they come from.

An upstream sends its calls to the instance beside it. Those of one service's upstreams therefore
all come from instances of that service, while callers' requests come from instances of several. A
run whose call is refused has been for nothing, so that such calls are worth a longer wait.
"""

import msgspec

# So many requests of a route tell where its requests come from.
MIN_REQUESTS = 20
# Once so many of a route were seen the older ones count by half.
HALVING_COUNT = 256
# Requests of one origin to at least this share are an upstream's calls,
MIN_INNER_SHARE = 0.98
# if at most this share of the other routes' requests has the same origin.
MAX_OTHERS_SHARE = 0.8
# Routes that are told apart; of more, those seen first are forgotten.
MAX_ROUTES = 256


class RouteOrigins(msgspec.Struct):
    """Count the requests of each route by the service beside which they began."""

    counts: dict[str, dict[str, float]] = msgspec.field(default_factory=dict)


def record_origin(origins: RouteOrigins, route: str, origin: str) -> None:
    """Count one request; an empty origin says that nothing runs beside its entry node."""
    counts = origins.counts.get(route)
    if counts is None:
        if len(origins.counts) >= MAX_ROUTES:
            origins.counts.pop(next(iter(origins.counts)))
        counts = origins.counts.setdefault(route, {})
    counts[origin] = counts.get(origin, 0.0) + 1.0
    if sum(counts.values()) >= HALVING_COUNT:
        origins.counts[route] = {name: count / 2 for name, count in counts.items() if count >= 1.0}


def is_inner_call(origins: RouteOrigins, route: str) -> bool:
    """Tell whether a route's requests are calls that upstreams make while they run another."""
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
