"""Find the route of a request and choose the part of the route's traffic split."""

import random

import msgspec

from bendwind_core.world import EMPTY_ROUTING, Route, Routing, normalize_path

# Multiples of this number modulo 1 spread evenly over [0, 1), so any sequence of requests is split
# close to the weights.
# Source: Weyl's equidistribution theorem; the golden ratio has the most even multiples.
_GOLDEN_STEP = 0.6180339887498949


class RouteTable(msgspec.Struct):
    """Hold the active routes by host and path prefix, and the position of each traffic split.

    Prefixes are normalized, so that a prefix matches every equivalent form of a path.
    `split_positions` is keyed by route name, so a change to other routes does not reset a split.
    """

    routing: Routing = EMPTY_ROUTING
    by_host: dict[str, dict[str, Route]] = msgspec.field(default_factory=dict)
    split_positions: dict[str, float] = msgspec.field(default_factory=dict)


def set_routing(table: RouteTable, routing: Routing) -> None:
    """Replace the routes by those of a revision."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routing.routes:
        by_host.setdefault(route.host.lower(), {})[normalize_path(route.path_prefix)] = route
    names = {route.name for route in routing.routes}
    table.routing = routing
    table.by_host = by_host
    table.split_positions = {
        name: share for name, share in table.split_positions.items() if name in names
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path, or None.

    `host` is in lower case and without its port.
    """
    prefixes = table.by_host.get(host)
    if prefixes is None:
        return None
    path = normalize_path(path)
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_part(table: RouteTable, route: Route, rng: random.Random) -> str:
    """Return the service that receives the next request of a route."""
    if len(route.parts) == 1:
        return route.parts[0].service
    # Each node starts at a random position, so the first requests of all nodes do not all go to the
    # same service.
    share = (table.split_positions.get(route.name, rng.random()) + _GOLDEN_STEP) % 1.0
    table.split_positions[route.name] = share
    total = sum(part.weight for part in route.parts)
    position = share * total
    for part in route.parts:
        position -= part.weight
        if position < 0.0:
            return part.service
    return next(part.service for part in reversed(route.parts) if part.weight > 0)
