"""Tell the calls that upstreams make from those of callers, by where they come from.

An upstream sends its calls to the instance beside it. Those of one service's upstreams therefore
all come from instances of that service, while callers' requests come from instances of several. A
run whose call is refused has been for nothing, so that such calls are worth a longer wait.
"""

import msgspec

# So many requests of a route tell where its requests come from.
LEAST_SEEN = 20
# Once so many of a route were seen the older ones count by half.
MOST_SEEN = 256
# Requests of one origin to at least this share are an upstream's calls,
INNER_SHARE = 0.98
# if at most this share of the other routes' requests has the same origin.
OUTER_SHARE = 0.8
# Routes that are told apart; of more, those seen first are forgotten.
MAX_ROUTES = 256


class Origins(msgspec.Struct):
    """Count the requests of each route by the service beside which they began."""

    counts: dict[str, dict[str, float]] = msgspec.field(default_factory=dict)


def note_origin(origins: Origins, route: str, origin: str) -> None:
    """Count one request; an empty origin says that nothing runs beside its entry node."""
    counts = origins.counts.get(route)
    if counts is None:
        if len(origins.counts) >= MAX_ROUTES:
            origins.counts.pop(next(iter(origins.counts)))
        counts = origins.counts.setdefault(route, {})
    counts[origin] = counts.get(origin, 0.0) + 1.0
    if sum(counts.values()) >= MOST_SEEN:
        origins.counts[route] = {name: n / 2 for name, n in counts.items() if n >= 1.0}


def is_inner_call(origins: Origins, route: str) -> bool:
    """Tell whether a route's requests are calls that upstreams make while they run another."""
    own = origins.counts.get(route, {})
    seen = sum(own.values())
    if seen < LEAST_SEEN:
        return False
    origin = max(own, key=own.get)
    if not origin or own[origin] < INNER_SHARE * seen:
        return False
    others = [counts for name, counts in origins.counts.items() if name != route]
    of_others = sum(sum(counts.values()) for counts in others)
    alike = sum(counts.get(origin, 0.0) for counts in others)
    return of_others >= LEAST_SEEN and alike <= OUTER_SHARE * of_others
