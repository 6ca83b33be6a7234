"""Describe virtual hosts: which requests are routed to which services, and under which rule."""

from bendwind_core.core import Finite, Milliseconds, Record, Storable
from bendwind_core.world.service import Repeat, Rule, Service, StaleAction, WarmUpRule


class SplitPart(Record, frozen=True, array_like=True):
    """Name a service that receives a share of a route's requests, proportional to its weight."""

    service: str
    weight: Storable = 1


class Route(Record, frozen=True, array_like=True):
    """Route the requests of a host whose path begins with a prefix to one or more services.

    The prefix begins and ends with a slash, so it matches whole path segments. If `is_open`,
    requests of the route need no key.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[SplitPart, ...]
    rule: Rule
    is_open: bool = False


def create_route(
    name: str,
    host: str,
    path_prefix: str,
    parts: tuple[SplitPart, ...],
    *,
    repeat: Repeat,
    timeout_ms: Milliseconds,
    target_latency_ms: Milliseconds | None,
    attempts: int,
    priority: int,
    is_open: bool = False,
) -> Route:
    """Create a route; its rule, which is passed along with each request, has the route's name."""
    rule = Rule(
        "*",
        repeat=repeat,
        longest_wait_ms=timeout_ms,
        attempts=attempts,
        target_latency_ms=target_latency_ms,
        priority=priority,
        name=name,
    )
    return Route(name, host, path_prefix, parts, rule, is_open)


def create_routed_service(
    name: str,
    health_path: str,
    on_stale: StaleAction,
    *,
    near_first: bool,
    warm_up: WarmUpRule | None = None,
) -> Service:
    """Create a service that only routes lead to; any upstream name matches it."""
    return Service(
        name,
        ("*",),
        on_stale=on_stale,
        routed_only=True,
        health_path=health_path,
        near_first=near_first,
        warm_up=warm_up,
    )


class CallerLimits(Record, frozen=True, array_like=True):
    """Limit the size of a caller's requests, the time to send them and the idle time.

    Units: bytes and milliseconds; with None, the settings of each process apply.
    """

    header_bytes: Storable | None = None
    body_bytes: Storable | None = None
    header_timeout_ms: Finite | None = None
    idle_timeout_ms: Finite | None = None


class Routing(Record, frozen=True, array_like=True):
    """Hold all routes of one revision; the operator assigns its number, 0 means none was set."""

    revision: Storable = 0
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()


EMPTY_ROUTING = Routing()
