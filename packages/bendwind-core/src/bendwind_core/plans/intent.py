"""Parse an operator's intent from TOML text."""

import collections
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from bendwind_core.core import TomlError, decode_toml
from bendwind_core.plans.customer_faults import find_customer_fault
from bendwind_core.plans.stated_customer import (
    CustomerName,
    StatedCustomers,
    convert_stated_customers,
)
from bendwind_core.world import Customer, Limits, Policy, Repeat, Service, StaleAction

MAX_WAIT_MS = 3_600_000.0
MAX_SERVICES = 2_000

_Name = Annotated[str, Meta(pattern="^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$")]
_Pattern = Annotated[str, Meta(min_length=1, max_length=128)]
_Host = Annotated[str, Meta(pattern="^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$")]
_Path = Annotated[str, Meta(pattern=r"^[/*]", max_length=256)]
_HealthPath = Annotated[str, Meta(pattern=r"^(/|$)", max_length=256)]
_Method = Annotated[str, Meta(pattern="^[A-Z]{1,20}$")]
_Wait = Annotated[float, Meta(gt=0, le=MAX_WAIT_MS)]
_Count = Annotated[int, Meta(ge=0, le=100_000)]
_AtLeastOne = Annotated[int, Meta(ge=1, le=100_000)]
_BodyBytes = Annotated[int, Meta(ge=0, le=1024 * 1024 * 1024)]
_Ratio = Annotated[float, Meta(ge=0, le=1)]


class _Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold one table of an intent; unknown keys are errors."""


class StatedRule(_Table, frozen=True, kw_only=True):
    """Hold a rule as stated in `[[services.rules]]`."""

    path: _Path
    methods: tuple[_Method, ...] = ()
    repeat: Repeat = Repeat.IDEMPOTENT
    key_required: bool = False
    longest_wait_ms: _Wait | None = None
    is_open: bool = msgspec.field(default=False, name="open")


class StatedLimits(_Table, frozen=True, kw_only=True):
    """Hold the limits of a service as stated in `[services.limits]`."""

    queue: _Count = Limits().queue
    body_bytes: _BodyBytes = Limits().body_bytes
    in_flight_per_entry: _AtLeastOne = Limits().in_flight_per_entry
    retry_ratio: _Ratio = Limits().retry_ratio


class StatedWarmUp(_Table, frozen=True, kw_only=True):
    """Hold how long upstreams are cold, as stated in `[services.warm_up]`."""

    seconds: Annotated[float, Meta(gt=0, le=3600)]
    per_second: Annotated[float, Meta(gt=0, le=1_000_000)]


class StatedService(_Table, frozen=True, kw_only=True):
    """Hold a service as stated in `[[services]]`."""

    name: _Name
    upstreams: Annotated[tuple[_Pattern, ...], Meta(min_length=1)]
    hosts: tuple[_Host, ...] = ()
    rules: tuple[StatedRule, ...] = ()
    longest_wait_ms: _Wait = 2000.0
    limits: StatedLimits = StatedLimits()
    policy: Policy = Policy.SCORE
    on_stale: StaleAction = StaleAction.REFUSE
    hedge_after_ms: _Wait | None = None
    needed_upstreams: _AtLeastOne = 1
    health_path: _HealthPath = ""
    warm_up: StatedWarmUp | None = None


class StatedIntent(_Table, frozen=True, kw_only=True):
    """Hold the whole content of an intent file.

    `partial` leaves services and customers that are not named unchanged; otherwise they are
    removed. A file that states no customers leaves all customers unchanged.
    """

    services: Annotated[tuple[StatedService, ...], Meta(max_length=MAX_SERVICES)] | None = None
    partial: bool = False
    remove: tuple[_Name, ...] = ()
    customers: StatedCustomers | None = None
    remove_customers: tuple[CustomerName, ...] = ()
    end_customers: bool = False


class Intent(msgspec.Struct, frozen=True):
    """Hold a valid intent: what is desired and, if it is partial, what to remove.

    `customers` is None if customers stay unchanged; with `end_customers`, requests need no key.
    """

    services: tuple[Service, ...]
    partial: bool = False
    remove: tuple[str, ...] = ()
    customers: tuple[Customer, ...] | None = None
    remove_customers: tuple[str, ...] = ()
    end_customers: bool = False


def parse_intent(text: str | bytes, file: str) -> Result[Intent, TomlError]:
    """Parse and fully check the TOML text of an intent.

    Errors: the first fault of the text.
    """
    data = text.encode() if isinstance(text, str) else text
    return decode_toml(data, file, StatedIntent).bind(lambda stated: _validate(stated, file))


def _validate(stated: StatedIntent, file: str) -> Result[Intent, TomlError]:
    customers = convert_stated_customers(stated.customers)
    conflict = _find_conflict(stated, file) or _find_customer_conflict(stated, customers, file)
    if conflict is not None:
        return Error(conflict)
    services = msgspec.convert(stated.services or (), tuple[Service, ...], from_attributes=True)
    return Ok(
        Intent(
            services,
            stated.partial,
            stated.remove,
            customers,
            stated.remove_customers,
            stated.end_customers,
        )
    )


def _find_conflict(stated: StatedIntent, file: str) -> TomlError | None:
    if stated.remove and not stated.partial:
        return TomlError(file, "remove", "expected partial = true as well")
    if stated.services is None and not stated.partial:
        # An empty file must not be read as a request to remove every service.
        return TomlError(file, "services", "expected [[services]], or services = [] to remove all")
    services = stated.services or ()
    names = [service.name for service in services]
    hosts = [host for service in services for host in service.hosts]
    duplicate = _find_duplicate([*names, *stated.remove])
    if duplicate is not None:
        return TomlError(
            file, "services", f"expected each service once, {duplicate!r} is named twice"
        )
    duplicate_host = _find_duplicate(hosts)
    if duplicate_host is not None:
        return TomlError(
            file, "services", f"expected each host once, {duplicate_host!r} is named twice"
        )
    return _find_rule_conflict(stated, file)


def _find_customer_conflict(
    stated: StatedIntent, customers: tuple[Customer, ...] | None, file: str
) -> TomlError | None:
    if stated.remove_customers and not stated.partial:
        return TomlError(file, "remove_customers", "expected partial = true as well")
    if stated.end_customers and (customers is not None or stated.remove_customers):
        return TomlError(file, "end_customers", "expected neither customers nor remove_customers")
    names = [customer.name for customer in customers or ()]
    duplicate = _find_duplicate([*names, *stated.remove_customers])
    if duplicate is not None:
        text = f"expected each customer once, {duplicate!r} is named twice"
        return TomlError(file, "customers", text)
    fault = find_customer_fault(customers)
    if fault is not None:
        return TomlError(file, "customers", f"expected valid customers: {fault}")
    return None


def _find_duplicate(names: list[str]) -> str | None:
    counts = collections.Counter(names)
    return next((name for name, count in counts.items() if count > 1), None)


def _find_rule_conflict(stated: StatedIntent, file: str) -> TomlError | None:
    for i, service in enumerate(stated.services or ()):
        for j, rule in enumerate(service.rules):
            key = f"services[{i}].rules[{j}]"
            if rule.key_required and rule.repeat is not Repeat.NEVER:
                return TomlError(file, f"{key}.key_required", 'expected repeat = "never" as well')
            if rule in service.rules[:j]:
                return TomlError(file, key, "expected each rule once")
    return None
