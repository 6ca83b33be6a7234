"""Define the tables of a scenario: services, routes, customers, callers, places and faults."""

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from bendwind_core.suspicion.limits import (
    DEFAULT_APART_FROM,
    DEFAULT_QUARANTINE,
    DEFAULT_QUARANTINE_FROM,
)
from bendwind_core.world import Policy, Repeat

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1_000_000)]
NonNegative = Annotated[float, Meta(ge=0, le=1_000_000)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Factor = Annotated[float, Meta(ge=1, le=1_000)]
Name = Annotated[str, Meta(min_length=1, max_length=63)]


class _Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold one table of a scenario; unknown keys are rejected."""


class Phases(_Table, frozen=True, kw_only=True):
    """Define the slow phases that each upstream has independently; work begun in one stays slow.

    Units: `every_s` is the mean time in seconds from the end of a phase to the next start.
    """

    every_s: Positive
    length_s: Positive
    factor: Factor


class WarmUp(_Table, frozen=True, kw_only=True):
    """Define an upstream's warm-up after a start.

    With `falls_over`, a cold upstream crashes if more requests arrive within a second than
    `per_second` times `overage`, plus `slack`."""

    seconds: Positive
    per_second: Positive
    factor: Factor = 2.0
    overage: Factor = 1.5
    slack: NonNegative = 8.0
    falls_over: bool = True


class ServiceTable(_Table, frozen=True, kw_only=True):
    """Define a service and its upstreams.

    If more than the share `knee` of its slots is in use, an upstream takes `knee_factor` times as
    long. `queue` is the number of requests that an upstream queues itself before it sheds.
    `scatter` is the standard deviation of the logarithm of the work. The upstreams are spread over
    `data_centres`, or over all data centres if none is named.
    """

    name: Name
    upstreams: Count
    slots: Count
    queue: Annotated[int, Meta(ge=0)] = 4
    knee: Share = 1.0
    knee_factor: Factor = 1.0
    scatter: Annotated[float, Meta(ge=0, le=3)] = 0.3
    phases: Phases | None = None
    warm_up: WarmUp | None = None
    reports_load: bool = True
    data_centres: tuple[Name, ...] = ()


class RouteTable(_Table, frozen=True, kw_only=True):
    """Define a route; the share `calling` of its runs make `calls`, by route, one after the other.

    `priority` is the rank, 0 the most urgent, of requests from customers without a rank. Its
    requests have `targets` different paths; if that is 0, each request has its own path.
    """

    name: Name
    service: Name
    work_ms: Positive
    target_ms: Positive
    timeout_ms: Positive
    per_second: NonNegative = 0.0
    repeat: Repeat = Repeat.IDEMPOTENT
    priority: Annotated[int, Meta(ge=0)] = 0
    attempts: Count = 3
    calls: tuple[Name, ...] = ()
    calling: Share = 1.0
    targets: Annotated[int, Meta(ge=0)] = 0


class CustomerTable(_Table, frozen=True, kw_only=True):
    """Define a group of customers, named after the group with the suffixes `-0`, `-1` and so on.

    The n-th customer, counted from 1, sends requests in proportion to n to the power of -`zipf`.
    `weight` is the relative part of the group in the requests of `routes`, or of all routes if none
    is named. `rank` takes precedence over the rank of the route. Each customer may send
    `rate_per_s`, and `burst` at once; without a rate it has no quota.
    """

    name: Name
    count: Count = 1
    zipf: Annotated[float, Meta(ge=0, le=5)] = 0.0
    weight: Positive = 1.0
    rank: Annotated[int, Meta(ge=0)] | None = None
    rate_per_s: Positive | None = None
    burst: Factor = 10.0
    routes: tuple[Name, ...] = ()

    def find_name(self, number: int) -> str:
        """Return the name of one of the customers, counted from 0."""
        return f"{self.name}-{number}"


class Wave(_Table, frozen=True, kw_only=True):
    """Define the part of the callers that use a data centre, and the periodic change of their rate.

    `weight` is relative to the other waves; `phase` is the initial phase as a share of the period.
    """

    data_centre: Name
    weight: Positive = 1.0
    swing: Share = 0.0
    period_s: Positive = 13.0
    phase: Share = 0.0


class Callers(_Table, frozen=True, kw_only=True):
    """Define how callers behave: the number of retries, and the share that retry at once.

    Without `waves` callers use all nodes equally.
    """

    retries: Annotated[int, Meta(ge=0, le=20)] = 1
    at_once: Share = 0.0
    waves: tuple[Wave, ...] = ()


class Places(_Table, frozen=True, kw_only=True):
    """Define the data centres, over which upstreams are spread in turn, and the network delays.

    `within_ms` and `between_ms` are the delays of a message within a data centre and between two;
    `push_ms` is the delay of pushes to all nodes."""

    data_centres: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("north", "south", "east")
    within_ms: NonNegative = 0.3
    between_ms: NonNegative = 1.4
    push_ms: NonNegative = 100.0


class PolicyTable(_Table, frozen=True, kw_only=True):
    """Define the bendwind settings of the run."""

    policy: Policy = Policy.SCORE
    near_first: bool = True
    slot_share: Annotated[float, Meta(gt=0, le=1)] = 0.8
    hedge_after_ms: Positive | None = None
    retry_ratio: Share = 0.1
    spares_cold: bool = True
    apart_from: Count = DEFAULT_APART_FROM
    quarantine_from: Count = DEFAULT_QUARANTINE_FROM
    quarantine_s: Positive = DEFAULT_QUARANTINE


class FaultKind(enum.StrEnum):
    """Enumerate the faults that may occur during a run."""

    BURST = "burst"
    SLOW = "slow"
    SHED = "shed"
    RESET = "reset"
    CRASH = "crash"
    RETURN_COLD = "return-cold"
    POWER_LOSS = "power-loss"
    RESTART_EACH = "restart-each"
    KILL_NODES = "kill-nodes"
    SILENT_REPORTS = "silent-reports"
    EVACUATE = "evacuate"
    CRASHING_REQUEST = "crashing-request"
    SUSPEND = "suspend"
    HOT_CUSTOMER = "hot-customer"
    LIMIT = "limit"
    LEAVE = "leave"


class Fault(_Table, frozen=True, kw_only=True):
    """Define one fault; it affects the share `share` of the nodes.

    The nodes are those of `service` in `data_centre`; an empty value means all. A crashing request
    ends each upstream that runs it. It arrives at `count` nodes at once, and then `x` times a
    second for `for_s`; two such faults with the same `target` are the same request. A hot
    `customer` sends `x` times its usual requests; a burst concerns a `route`, or all routes if that
    is empty. A share `x` of requests is shed, or reset on arrival. With a limit, upstreams state a
    rate limit of `x` requests a second in their answers; with a leave, they state in their answers
    that they leave, permanently.
    """

    kind: FaultKind
    at: NonNegative
    for_s: NonNegative = 2.0
    service: str = ""
    data_centre: str = ""
    share: Share = 1.0
    x: Positive = 2.0
    count: Count = 1
    target: str = "crash"
    customer: str = ""
    route: str = ""


class Scenario(_Table, frozen=True, kw_only=True):
    """Hold a complete scenario; tables that it omits are taken from its `base`, if it names one.

    Units: `seconds` is the time during which callers send requests.
    """

    name: Name
    about: str
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    base: str = ""
    services: tuple[ServiceTable, ...] = ()
    routes: tuple[RouteTable, ...] = ()
    customers: tuple[CustomerTable, ...] = ()
    places: Places | None = None
    callers: Callers | None = None
    policy: PolicyTable | None = None
    faults: tuple[Fault, ...] = ()

    def find_service(self, name: str) -> ServiceTable:
        """Return the service with a name; the name must exist."""
        return next(service for service in self.services if service.name == name)

    def find_route(self, name: str) -> RouteTable:
        """Return the route with a name; the name must exist."""
        return next(route for route in self.routes if route.name == name)
