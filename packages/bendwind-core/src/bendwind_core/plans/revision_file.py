"""Parse a complete configuration from TOML text."""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from bendwind_core.core import TomlError, decode_toml
from bendwind_core.plans.commands import PutRevision
from bendwind_core.plans.revision import find_revision_fault
from bendwind_core.plans.stated_customer import StatedCustomers, convert_stated_customers
from bendwind_core.world import (
    CallerLimits,
    Repeat,
    Route,
    Routing,
    Service,
    SplitPart,
    StaleAction,
    create_route,
    create_routed_service,
)

_Name = Annotated[str, Meta(min_length=1, max_length=128)]
_Milliseconds = Annotated[float, Meta(gt=0, le=3_600_000)]
_Bytes = Annotated[int, Meta(ge=0, le=1 << 30)]


class _Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold one table of the file; unknown keys are errors."""


class StatedPart(_Table, frozen=True, kw_only=True):
    """Hold a part of a traffic split as stated in `[[routes.parts]]`."""

    service: _Name
    weight: Annotated[int, Meta(ge=0, le=1_000_000)] = 1


class StatedRoute(_Table, frozen=True, kw_only=True):
    """Hold a route as stated in `[[routes]]`."""

    name: _Name
    host: Annotated[str, Meta(max_length=253)]
    path_prefix: Annotated[str, Meta(max_length=1024)]
    parts: tuple[StatedPart, ...]
    repeat: Repeat = Repeat.IDEMPOTENT
    attempts: Annotated[int, Meta(ge=1, le=5)] = 2
    timeout_ms: _Milliseconds
    target_latency_ms: _Milliseconds | None = None
    priority: Annotated[int, Meta(ge=0, le=100)] = 0
    is_open: bool = msgspec.field(default=False, name="open")


class StatedRoutedService(_Table, frozen=True, kw_only=True):
    """Hold a service that routes lead to, as stated in `[[services]]`."""

    name: _Name
    health_path: str = ""
    near_first: bool = False
    on_stale: StaleAction = StaleAction.REFUSE


class StatedCallerLimits(_Table, frozen=True, kw_only=True):
    """Hold the limits of callers as stated in `[limits]`."""

    header_bytes: _Bytes | None = None
    body_bytes: _Bytes | None = None
    header_timeout_ms: _Milliseconds | None = None
    idle_timeout_ms: _Milliseconds | None = None


class StatedRevision(_Table, frozen=True, kw_only=True):
    """Hold the whole content of the file."""

    revision: Annotated[int, Meta(ge=1)]
    services: tuple[StatedRoutedService, ...] = ()
    routes: tuple[StatedRoute, ...] = ()
    limits: StatedCallerLimits = StatedCallerLimits()
    customers: StatedCustomers | None = None


def parse_revision(data: bytes, file: str) -> Result[PutRevision, TomlError]:
    """Parse and fully check the TOML text of a complete configuration.

    Errors: the first fault of the text.
    """
    return decode_toml(data, file, StatedRevision).bind(
        lambda stated: _validate(_make_command(stated, data), file)
    )


def _make_command(stated: StatedRevision, data: bytes) -> PutRevision:
    limits = msgspec.convert(stated.limits, CallerLimits, from_attributes=True)
    routes = tuple(_make_route(route) for route in stated.routes)
    services = tuple(_make_service(service) for service in stated.services)
    routing = Routing(stated.revision, routes, limits)
    return PutRevision(services, routing, data, convert_stated_customers(stated.customers))


def _make_service(stated: StatedRoutedService) -> Service:
    return create_routed_service(
        stated.name, stated.health_path, stated.on_stale, near_first=stated.near_first
    )


def _make_route(stated: StatedRoute) -> Route:
    return create_route(
        stated.name,
        stated.host,
        stated.path_prefix,
        tuple(SplitPart(part.service, part.weight) for part in stated.parts),
        repeat=stated.repeat,
        timeout_ms=stated.timeout_ms,
        target_latency_ms=stated.target_latency_ms,
        attempts=stated.attempts,
        priority=stated.priority,
        is_open=stated.is_open,
    )


def _validate(command: PutRevision, file: str) -> Result[PutRevision, TomlError]:
    fault = find_revision_fault(command)
    if fault is not None:
        return Error(TomlError(file, fault.name, f"expected a valid configuration: {fault.kind}"))
    return Ok(command)
