"""Tell nodes which routes changed since the version that they hold, instead of all routes."""

import msgspec

from bendwind_core.core import Record
from bendwind_core.world import CallerLimits, Route, Routing

RouteKey = tuple[str, str]


class RoutingChange(Record, frozen=True, array_like=True):
    """Carry the routes that changed and the places, host and path prefix, of those that ended.

    One that `is_whole` carries all routes.
    """

    revision: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    removed: tuple[RouteKey, ...] = ()
    is_whole: bool = True


class RoutingHistory(msgspec.Struct):
    """Hold at which version each route last changed, and the places of ended ones with theirs."""

    changed_at: dict[RouteKey, int] = msgspec.field(default_factory=dict)
    removed_at: dict[RouteKey, int] = msgspec.field(default_factory=dict)
    newest: int = 0


def find_route_key(route: Route) -> RouteKey:
    """Return what no two routes share."""
    return route.host, route.path_prefix


def record_routing_change(
    history: RoutingHistory, before: Routing, after: Routing, version: int, oldest: int
) -> None:
    """Note what a version changed; nobody is told of changes since versions before `oldest`."""
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
    """Return what changed since a version, all routes where it is 0, None if nothing did."""
    # All routes sent for a change of one would hold up a slow link, and the heartbeats on it.
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
    """Return the routes after a change that follows on those held."""
    if change.is_whole:
        return Routing(change.revision, change.routes, change.limits)
    routes = {find_route_key(route): route for route in routing.routes}
    for place in change.removed:
        routes.pop(place, None)
    routes.update((find_route_key(route), route) for route in change.routes)
    return Routing(change.revision, tuple(routes.values()), change.limits)
