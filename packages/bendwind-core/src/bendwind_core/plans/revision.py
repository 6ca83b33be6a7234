"""Find faults that make a complete configuration invalid."""

import enum
import math
from collections.abc import Iterator

import msgspec
from expression import Error, Result

from bendwind_core.plans.commands import CommandFault, PutRevision, encode_command
from bendwind_core.plans.customer_faults import (
    CustomerFault,
    CustomerFaultKind,
    find_customer_fault,
)
from bendwind_core.world import Route, is_absolute_path, normalize_path

# The largest number that a message can hold.
MAX_REVISION = 2**63 - 1


class RevisionFaultKind(enum.StrEnum):
    """Enumerate the faults of a complete configuration."""

    BAD_REVISION = "bad-revision"
    DUPLICATE_SERVICE = "duplicate-service"
    BAD_HEALTH_PATH = "bad-health-path"
    DUPLICATE_PLACE = "duplicate-place"
    NO_HOST = "no-host"
    BAD_PREFIX = "bad-prefix"
    NO_SERVICE = "no-service"
    UNKNOWN_SERVICE = "unknown-service"
    NO_WEIGHT = "no-weight"
    NO_TIMEOUT = "no-timeout"
    NO_ATTEMPTS = "no-attempts"
    TOO_LARGE = "too-large"
    UNENCODABLE = "unencodable"


class RevisionFault(msgspec.Struct, frozen=True):
    """Hold a fault and the service, route or customer that has it."""

    kind: RevisionFaultKind | CustomerFaultKind
    name: str = ""

    def __str__(self) -> str:
        return f"{self.kind}: {self.name}" if self.name else str(self.kind)


def encode_revision(command: PutRevision) -> Result[bytes, RevisionFault]:
    """Encode a complete configuration for the control log if it is valid.

    Errors: its first fault.
    """
    fault = next(_find_faults(command), None)
    return Error(fault) if fault is not None else encode_command(command).map_error(_name_fault)


def _name_fault(fault: CommandFault) -> RevisionFault:
    kind = RevisionFaultKind.TOO_LARGE if fault.is_too_large else RevisionFaultKind.UNENCODABLE
    return RevisionFault(kind, fault.reason)


def find_revision_fault(command: PutRevision) -> RevisionFault | None:
    """Return the first fault of a complete configuration, or None if it is valid."""
    encoded = encode_revision(command)
    return encoded.error if encoded.is_error() else None


def _find_faults(command: PutRevision) -> Iterator[RevisionFault]:
    if not 1 <= command.routing.revision <= MAX_REVISION:
        yield RevisionFault(RevisionFaultKind.BAD_REVISION, str(command.routing.revision))
    services: set[str] = set()
    for service in command.services:
        if not service.name or service.name in services:
            yield RevisionFault(RevisionFaultKind.DUPLICATE_SERVICE, service.name)
        services.add(service.name)
        if service.health_path and not is_absolute_path(service.health_path):
            yield RevisionFault(RevisionFaultKind.BAD_HEALTH_PATH, service.name)
    places: set[tuple[str, str]] = set()
    for route in command.routing.routes:
        yield from _find_route_faults(route, services)
        place = route.host, normalize_path(route.path_prefix)
        if place in places:
            yield RevisionFault(RevisionFaultKind.DUPLICATE_PLACE, route.name)
        places.add(place)
    match find_customer_fault(command.customers):
        case CustomerFault(kind=kind, name=name):
            yield RevisionFault(kind, name)


def _find_route_faults(route: Route, services: set[str]) -> Iterator[RevisionFault]:
    if not route.host:
        yield RevisionFault(RevisionFaultKind.NO_HOST, route.name)
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield RevisionFault(RevisionFaultKind.BAD_PREFIX, route.name)
    if not route.parts:
        yield RevisionFault(RevisionFaultKind.NO_SERVICE, route.name)
    if any(part.service not in services for part in route.parts):
        yield RevisionFault(RevisionFaultKind.UNKNOWN_SERVICE, route.name)
    weights = [part.weight for part in route.parts]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        yield RevisionFault(RevisionFaultKind.NO_WEIGHT, route.name)
    if not 0 < (route.rule.longest_wait_ms or 0) < math.inf:
        yield RevisionFault(RevisionFaultKind.NO_TIMEOUT, route.name)
    if route.rule.attempts is not None and route.rule.attempts < 1:
        yield RevisionFault(RevisionFaultKind.NO_ATTEMPTS, route.name)
