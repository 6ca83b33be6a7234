"""Compute which routes changed since the version that a node holds, to send only those."""

import functools
import operator

import msgspec

from bendwind_core.core import Record, Storable
from bendwind_core.membership.digest import digest_record
from bendwind_core.world import EMPTY_ROUTING, CallerLimits, Route, Routing

RouteKey = tuple[str, str]


class RoutingChange(Record, frozen=True, array_like=True):
    """Hold the routes that changed and the keys, host and path prefix, of those removed.

    A change with `is_whole` holds all routes.
    """

    revision: Storable
    limits: CallerLimits
    routes: tuple[Route, ...]
    removed: tuple[RouteKey, ...] = ()
    is_whole: bool = True


def _digest_head(routing: Routing) -> int:
    return digest_record(Routing(routing.revision, (), routing.limits))


def digest_routing(routing: Routing) -> int:
    """Return the digest of all routes, their revision and the limits of callers."""
    return functools.reduce(operator.xor, map(digest_record, routing.routes), _digest_head(routing))


_EMPTY_DIGEST = digest_routing(EMPTY_ROUTING)


class HeldRouting(msgspec.Struct, frozen=True):
    """Hold the routes that a node has received, and their digest."""

    routing: Routing = EMPTY_ROUTING
    digest: int = _EMPTY_DIGEST


class RoutingHistory(msgspec.Struct):
    """Hold the version of each route's last change, and the version that removed each old route.

    `digest` covers all routes of the newest version. `changes` holds those since a version that
    were computed for one node, for the others.
    """

    changed_at: dict[RouteKey, int] = msgspec.field(default_factory=dict)
    removed_at: dict[RouteKey, int] = msgspec.field(default_factory=dict)
    newest: int = 0
    digest: int = _EMPTY_DIGEST
    changes: dict[int, RoutingChange] = msgspec.field(default_factory=dict)


def find_route_key(route: Route) -> RouteKey:
    """Return the key of a route, its host and path prefix, which is unique."""
    return route.host, route.path_prefix


def _digest_old(route: Route | None) -> int:
    return 0 if route is None else digest_record(route)


def record_routing_change(
    history: RoutingHistory, before: Routing, after: Routing, version: int, oldest: int
) -> None:
    """Record what a version changed.

    No node is sent the changes since versions before `oldest`, so removals up to it are dropped.
    """
    known = {find_route_key(route): route for route in before.routes}
    history.digest ^= _digest_head(before) ^ _digest_head(after)
    for route in after.routes:
        place = find_route_key(route)
        old = known.pop(place, None)
        if old != route:
            history.changed_at[place] = version
            history.removed_at.pop(place, None)
            history.digest ^= digest_record(route) ^ _digest_old(old)
    for place, old in known.items():
        history.digest ^= digest_record(old)
        history.changed_at.pop(place, None)
        history.removed_at[place] = version
    for place in [one for one, at in history.removed_at.items() if at <= oldest]:
        del history.removed_at[place]
    history.newest = version
    history.changes.clear()


def find_routing_change(
    history: RoutingHistory, routing: Routing, base: int
) -> RoutingChange | None:
    """Return the changes since a version, all routes for version 0, None if nothing changed.

    `routing` are the newest routes recorded.
    """
    if base and history.newest <= base:
        return None
    if base not in history.changes:
        history.changes[base] = _compute_routing_change(history, routing, base)
    return history.changes[base]


def _compute_routing_change(history: RoutingHistory, routing: Routing, base: int) -> RoutingChange:
    # Sending all routes for a change of one would block a slow link and delay the heartbeats on it.
    if base == 0:
        return RoutingChange(routing.revision, routing.limits, routing.routes)
    changed = tuple(
        route for route in routing.routes if history.changed_at.get(find_route_key(route), 0) > base
    )
    removed = tuple(place for place, at in history.removed_at.items() if at > base)
    return RoutingChange(routing.revision, routing.limits, changed, removed, is_whole=False)


def apply_routing_change(held: HeldRouting, change: RoutingChange) -> HeldRouting:
    """Return the routes that result from applying a change to the held routes."""
    if change.is_whole:
        whole = Routing(change.revision, change.routes, change.limits)
        return HeldRouting(whole, digest_routing(whole))
    routes = {find_route_key(route): route for route in held.routing.routes}
    digest = held.digest ^ _digest_head(held.routing)
    for place in change.removed:
        digest ^= _digest_old(routes.pop(place, None))
    for route in change.routes:
        place = find_route_key(route)
        digest ^= _digest_old(routes.get(place)) ^ digest_record(route)
        routes[place] = route
    changed = Routing(change.revision, tuple(routes.values()), change.limits)
    return HeldRouting(changed, digest ^ _digest_head(changed))
