"""Describe virtual hosts: which requests go to which services, and under which rule."""

from bendwind_core.core import Milliseconds, Record
from bendwind_core.world.service import Repeat, Rule, Service, StaleAction, WarmUpRule


class SplitPart(Record, frozen=True, array_like=True):
    """Name a service that takes a share of a route's requests; shares follow the weights."""

    service: str
    weight: int = 1


class Route(Record, frozen=True, array_like=True):
    """Send the requests of a host whose path begins with a prefix to one or more services.

    The prefix begins and ends with a slash, so that it covers whole segments. Requests of a route
    that `is_open` need no key.
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
    """Create a route; its rule, which goes with each request, bears its name."""
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
    """Create a service that routes alone lead to, whatever its upstreams are called."""
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
    """Bound what a caller may send and how long it may take or rest.

    Units: bytes and milliseconds; None leaves the bound to the settings of each process.
    """

    header_bytes: int | None = None
    body_bytes: int | None = None
    header_timeout_ms: Milliseconds | None = None
    idle_timeout_ms: Milliseconds | None = None


class Routing(Record, frozen=True, array_like=True):
    """Hold all routes as of one revision, which the operator numbers; 0 means that none was set."""

    revision: int = 0
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()


EMPTY_ROUTING = Routing()
