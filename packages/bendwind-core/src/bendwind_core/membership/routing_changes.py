"""Compute which routes changed since the version that a node holds, to send only those."""

import msgspec

from bendwind_core.core import Record
from bendwind_core.world import CallerLimits, Route, Routing

RouteKey = tuple[str, str]


class RoutingChange(Record, frozen=True, array_like=True):
    """Hold the routes that changed and the keys, host and path prefix, of those removed.

    A change with `is_whole` holds all routes.
    """

    revision: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    removed: tuple[RouteKey, ...] = ()
    is_whole: bool = True


class RoutingHistory(msgspec.Struct):
    """Hold the version of each route's last change, and the version that removed each old route."""

    changed_at: dict[RouteKey, int] = msgspec.field(default_factory=dict)
    removed_at: dict[RouteKey, int] = msgspec.field(default_factory=dict)
    newest: int = 0


def find_route_key(route: Route) -> RouteKey:
    """Return the key of a route, its host and path prefix, which is unique."""
    return route.host, route.path_prefix


def record_routing_change(
    history: RoutingHistory, before: Routing, after: Routing, version: int, oldest: int
) -> None:
    """Record what a version changed.

    No node is sent the changes since versions before `oldest`, so removals up to it are dropped.
    """
    known = {find_route_key(route): route for route in before.routes}
    for route in after.routes:
        place = find_route_key(route)
        if known.pop(place, None) != route:
            history.changed_at[place] = version
            history.removed_at.pop(place, None)
    for place in known:
        history.changed_at.pop(place, None)
        history.removed_at[place] = version
    for place in [one for one, at in history.removed_at.items() if at <= oldest]:
        del history.removed_at[place]
    history.newest = version


def make_routing_change(
    history: RoutingHistory, routing: Routing, base: int
) -> RoutingChange | None:
    """Return the changes since a version, all routes for version 0, None if nothing changed."""
    # Sending all routes for a change of one would block a slow link and delay the heartbeats on it.
    if base == 0:
        return RoutingChange(routing.revision, routing.limits, routing.routes)
    if history.newest <= base:
        return None
    changed = tuple(
        route for route in routing.routes if history.changed_at.get(find_route_key(route), 0) > base
    )
    removed = tuple(place for place, at in history.removed_at.items() if at > base)
    return RoutingChange(routing.revision, routing.limits, changed, removed, is_whole=False)


def apply_routing_change(routing: Routing, change: RoutingChange) -> Routing:
    """Return the routes that result from applying a change to the held routes."""
    if change.is_whole:
        return Routing(change.revision, change.routes, change.limits)
    routes = {find_route_key(route): route for route in routing.routes}
    for place in change.removed:
        routes.pop(place, None)
    routes.update((find_route_key(route), route) for route in change.routes)
    return Routing(change.revision, tuple(routes.values()), change.limits)
