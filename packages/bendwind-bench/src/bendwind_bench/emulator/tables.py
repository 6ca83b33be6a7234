"""Define what a scenario may state: services, routes, customers, callers, places, faults."""

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
NotNegative = Annotated[float, Meta(ge=0, le=1_000_000)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Factor = Annotated[float, Meta(ge=1, le=1_000)]
Name = Annotated[str, Meta(min_length=1, max_length=63)]


class _Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold one table of a scenario; unknown keys are refused."""


class Phases(_Table, frozen=True, kw_only=True):
    """State the slow phases that each upstream has by itself; work begun in one stays slow.

    Units: `every_s` is the mean time from one phase's end to the next one's beginning.
    """

    every_s: Positive
    length_s: Positive
    factor: Factor


class WarmUp(_Table, frozen=True, kw_only=True):
    """State how an upstream is after a start; `falls_over` above what it bears in a second."""

    seconds: Positive
    per_second: Positive
    factor: Factor = 2.0
    overage: Factor = 1.5
    slack: NotNegative = 8.0
    falls_over: bool = True


class ServiceTable(_Table, frozen=True, kw_only=True):
    """State a service and its upstreams.

    Above `knee` of its slots an upstream takes `knee_factor` times as long. `queue` is how many
    requests it holds itself before it sheds. `scatter` is the deviation of the logarithm of work.
    Its upstreams are spread over `data_centres`, over all where none is named.
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
    """State a route; the share `calling` of its runs make `calls`, by route, one after the other.

    `priority` is its rank, 0 the most urgent, for requests of customers that have none. Its
    requests ask for `targets` different things, each for another one if that is 0.
    """

    name: Name
    service: Name
    work_ms: Positive
    target_ms: Positive
    timeout_ms: Positive
    per_second: NotNegative = 0.0
    repeat: Repeat = Repeat.IDEMPOTENT
    priority: Annotated[int, Meta(ge=0)] = 0
    attempts: Count = 3
    calls: tuple[Name, ...] = ()
    calling: Share = 1.0
    targets: Annotated[int, Meta(ge=0)] = 0


class CustomerTable(_Table, frozen=True, kw_only=True):
    """State a group of customers, whose names are the group's with `-0`, `-1` and so on.

    The n-th, counted from 1, sends in proportion to n to the power of -`zipf`. `weight` is the part
    of the group in the requests of `routes`, of all where none is named. `rank` goes before that of
    a route. Each may send `rate_per_s`, and `burst` at once; without a rate it has no quota.
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
    """State how many of the callers come to a data centre, and how their rate rises and falls.

    `weight` is relative to the other waves; `phase` is where the wave begins, as a part of it.
    """

    data_centre: Name
    weight: Positive = 1.0
    swing: Share = 0.0
    period_s: Positive = 13.0
    phase: Share = 0.0


class Callers(_Table, frozen=True, kw_only=True):
    """State how callers behave: tries beyond the first, and the share that asks again at once.

    Without `waves` they come to all nodes alike.
    """

    retries: Annotated[int, Meta(ge=0, le=20)] = 1
    at_once: Share = 0.0
    waves: tuple[Wave, ...] = ()


class Places(_Table, frozen=True, kw_only=True):
    """State the data centres, over which upstreams are spread in turn, and the ways between."""

    data_centres: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("north", "south", "east")
    within_ms: NotNegative = 0.3
    between_ms: NotNegative = 1.4
    push_ms: NotNegative = 100.0


class PolicyTable(_Table, frozen=True, kw_only=True):
    """State the settings of the product that the run uses."""

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
    """Name what may happen during a run."""

    BURST = "burst"
    SLOW = "slow"
    SHED = "shed"
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
    """State one fault; `service` or `data_centre` empty means all, `share` how many of those.

    A crashing request ends each upstream that runs it. It comes at `count` nodes at once, and then
    `x` times a second for `for_s`; two such faults with one `target` are the same request. A hot
    `customer` sends `x` times its usual; a burst is one of a `route`, of all where that is empty.
    With a limit, upstreams name `x` requests a second in their answers; with a leave, they say in
    their answers that they leave, and for good.
    """

    kind: FaultKind
    at: NotNegative
    for_s: NotNegative = 2.0
    service: str = ""
    data_centre: str = ""
    share: Share = 1.0
    x: Positive = 2.0
    count: Count = 1
    target: str = "crash"
    customer: str = ""
    route: str = ""


class Scenario(_Table, frozen=True, kw_only=True):
    """Hold a whole scenario; tables that it leaves out are those of its `base`, if it names one.

    Units: `seconds` is how long callers come.
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
        """Return the service of a name that is known to exist."""
        return next(service for service in self.services if service.name == name)

    def find_route(self, name: str) -> RouteTable:
        """Return the route of a name that is known to exist."""
        return next(route for route in self.routes if route.name == name)
