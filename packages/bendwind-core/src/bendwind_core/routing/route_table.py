"""Find the route of a request and the part of its split that takes it."""

import random

import msgspec

from bendwind_core.world import EMPTY_ROUTING, Route, Routing

# Multiples of it spread evenly over [0, 1): any run of requests is split close to the weights.
# Source: Weyl's equidistribution with the golden ratio, whose multiples are the most even.
_GOLDEN_STEP = 0.6180339887498949


class RouteTable(msgspec.Struct):
    """Hold the routes in force by host and path prefix, and where each split stands.

    `shares` is kept by route name, so that a change of other routes moves no split back.
    """

    routing: Routing = EMPTY_ROUTING
    by_host: dict[str, dict[str, Route]] = msgspec.field(default_factory=dict)
    split_positions: dict[str, float] = msgspec.field(default_factory=dict)


def set_routing(table: RouteTable, routing: Routing) -> None:
    """Take over the routes of a revision."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routing.routes:
        by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
    names = {route.name for route in routing.routes}
    table.routing = routing
    table.by_host = by_host
    table.split_positions = {
        name: share for name, share in table.split_positions.items() if name in names
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of the longest prefix that begins the path, or None.

    `host` is in lower case and without its port.
    """
    prefixes = table.by_host.get(host)
    if prefixes is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_part(table: RouteTable, route: Route, rng: random.Random) -> str:
    """Return the service that the next request of a route goes to."""
    if len(route.parts) == 1:
        return route.parts[0].service
    # Each node begins elsewhere, so that the first requests of all nodes do not agree.
    share = (table.split_positions.get(route.name, rng.random()) + _GOLDEN_STEP) % 1.0
    table.split_positions[route.name] = share
    total = sum(part.weight for part in route.parts)
    position = share * total
    for part in route.parts:
        position -= part.weight
        if position < 0.0:
            return part.service
    return next(part.service for part in reversed(route.parts) if part.weight > 0)
