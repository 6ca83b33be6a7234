"""Read a scenario: services and their upstreams, routes, callers, data centres and faults."""

import enum
from pathlib import Path
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta
from msgspec.structs import replace

from bendwind_core.core import TomlError, decode_toml
from bendwind_core.suspicion.limits import (
    DEFAULT_APART_FROM,
    DEFAULT_QUARANTINE,
    DEFAULT_QUARANTINE_FROM,
)
from bendwind_core.world import Policy, Repeat

FOLDER = Path(__file__).parent / "scenarios"

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


class RouteTable(_Table, frozen=True, kw_only=True):
    """State a route; the runs of its requests make `calls`, by route, one after the other.

    Its requests ask for `targets` different things, each for another one if that is 0. Of its runs
    `calling` make the calls, the others none.
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


class Callers(_Table, frozen=True, kw_only=True):
    """State how callers behave: tries beyond the first, and the share that asks again at once.

    They are of `customers`, of whom the one at place n sends in proportion to n ** -skew.
    """

    retries: Annotated[int, Meta(ge=0, le=20)] = 1
    at_once: Share = 0.0
    customers: Annotated[int, Meta(ge=0, le=10_000)] = 0
    skew: Annotated[float, Meta(ge=0, le=5)] = 1.2


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
    HOT_CUSTOMERS = "hot-customers"
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


class Fault(_Table, frozen=True, kw_only=True):
    """State one fault; `service` or `data_centre` empty means all, `share` how many of those.

    A burst is of one `route`, of all if that is empty; hot customers are `count` of the ten
    largest, which send `x` times their usual.

    A crashing request ends each upstream that runs it. It comes at `count` nodes at once, and then
    `x` times a second for `for_s`; two such faults with one `target` are the same request.
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


def list_scenarios() -> tuple[str, ...]:
    """Return the names of the scenarios that come with the program."""
    return tuple(sorted(file.stem for file in FOLDER.glob("*.toml")))


def load_scenario(name: str, changes: tuple[str, ...] = ()) -> Result[Scenario, TomlError]:
    """Read a scenario by the name of a shipped one or by its file, with keys changed.

    Errors: the first thing that is wrong: file, key and what was expected.
    """
    shipped = FOLDER / f"{name}.toml"
    file = shipped if shipped.is_file() else Path(name)
    try:
        data = file.read_bytes()
    except OSError as error:
        expected = f"expected a readable file or one of {', '.join(list_scenarios())}"
        return Error(TomlError(name, "", f"{expected}: {error.strerror}"))
    return parse_scenario(data, str(file)).bind(lambda read: change_scenario(read, changes))


def parse_scenario(data: bytes, file: str) -> Result[Scenario, TomlError]:
    """Check a scenario's TOML text in full.

    Errors: the first thing that is wrong with it.
    """
    read = decode_toml(data, file, Scenario).bind(lambda scenario: _complete(scenario, file))
    return read.bind(lambda scenario: _check_names(scenario, file))


_TABLES = ("services", "routes", "places", "callers", "policy")
_DEFAULTS = {"places": Places(), "callers": Callers(), "policy": PolicyTable()}


def _complete(scenario: Scenario, file: str) -> Result[Scenario, TomlError]:
    """Fill in what a scenario leaves to its base, or to the defaults."""
    filled = {name: value for name, value in _DEFAULTS.items() if getattr(scenario, name) is None}
    if scenario.base:
        base = load_scenario(scenario.base)
        if base.is_error():
            return Error(TomlError(file, "base", str(base.error)))
        filled = {name: getattr(base.ok, name) for name in _TABLES if not getattr(scenario, name)}
    completed = replace(scenario, base="", **filled)
    for name in ("services", "routes"):
        if not getattr(completed, name):
            return Error(TomlError(file, name, f"expected [[{name}]], here or in a base"))
    return Ok(completed)


def change_scenario(scenario: Scenario, changes: tuple[str, ...]) -> Result[Scenario, TomlError]:
    """Return a scenario with keys changed, as `policy.slot_share=1.0` or `services.a.slots=8`.

    Errors: a key that is not there, or a value that its key does not take.
    """
    plain = msgspec.to_builtins(scenario)
    for change in changes:
        key, _, text = change.partition("=")
        if not _put(plain, key.split("."), text):
            return Error(TomlError("--against", key, "expected a key of the scenario"))
    try:
        return _check_names(msgspec.convert(plain, Scenario), "--against")
    except msgspec.ValidationError as error:
        return Error(TomlError("--against", ", ".join(changes), f"expected otherwise: {error}"))


def scale_scenario(scenario: Scenario, size: int) -> Scenario:
    """Return a scenario with so many times the upstreams and the callers."""
    services = tuple(
        replace(service, upstreams=service.upstreams * size) for service in scenario.services
    )
    routes = tuple(replace(route, per_second=route.per_second * size) for route in scenario.routes)
    return replace(scenario, services=services, routes=routes)


def _put(table, keys: list[str], text: str) -> bool:
    for key in keys[:-1]:
        table = _find_inner(table, key)
        if table is None:
            return False
    if not isinstance(table, dict) or keys[-1] not in table:
        return False
    try:
        table[keys[-1]] = msgspec.json.decode(text)
    except msgspec.DecodeError:
        table[keys[-1]] = text
    return True


def _find_inner(table, key: str):
    if isinstance(table, dict):
        return table.get(key)
    return next((item for item in table or () if item.get("name") == key), None)


def _check_names(scenario: Scenario, file: str) -> Result[Scenario, TomlError]:
    services = {service.name for service in scenario.services}
    routes = {route.name for route in scenario.routes}
    for i, route in enumerate(scenario.routes):
        if route.service not in services:
            expected = f"expected one of {', '.join(sorted(services))}"
            return Error(TomlError(file, f"routes[{i}].service", expected))
        if not set(route.calls) <= routes or route.name in route.calls:
            expected = "expected names of other routes"
            return Error(TomlError(file, f"routes[{i}].calls", expected))
    for i, fault in enumerate(scenario.faults):
        if fault.service and fault.service not in services:
            expected = f"expected one of {', '.join(sorted(services))}"
            return Error(TomlError(file, f"faults[{i}].service", expected))
        if fault.route and fault.route not in routes:
            expected = f"expected one of {', '.join(sorted(routes))}"
            return Error(TomlError(file, f"faults[{i}].route", expected))
        if fault.data_centre and fault.data_centre not in scenario.places.data_centres:
            expected = f"expected one of {', '.join(scenario.places.data_centres)}"
            return Error(TomlError(file, f"faults[{i}].data_centre", expected))
    return Ok(scenario)
