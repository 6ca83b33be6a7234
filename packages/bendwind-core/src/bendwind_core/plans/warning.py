"""Find warnings about what a plan can break."""

import enum
from collections.abc import Iterator, Sequence

import msgspec

from bendwind_core.plans.changes import Changes, apply_changes
from bendwind_core.plans.difference import (
    Difference,
    DifferenceKind,
    format_value,
)
from bendwind_core.world import Configuration, Service, Upstream, UpstreamState, may_serve


class WarningKind(enum.StrEnum):
    """Enumerate what a plan can break."""

    NO_UPSTREAMS = "no-upstreams"
    FEWER_UPSTREAMS = "fewer-upstreams"
    UPSTREAMS_LOST = "upstreams-lost"
    SERVICE_IN_USE = "service-in-use"
    RULE_LOOSENED = "rule-loosened"
    WAIT_SHORTENED = "wait-shortened"
    LIMIT_LOWERED = "limit-lowered"
    SHARED_HOST = "shared-host"
    UNREACHABLE_RULE = "unreachable-rule"
    KEYS_NEEDED = "keys-needed"
    KEYS_NOT_NEEDED = "keys-not-needed"
    NO_KEY = "no-key"
    CUSTOMER_ENDED = "customer-ended"
    RATE_LOWERED = "rate-lowered"


class PlanWarning(msgspec.Struct, frozen=True):
    """Describe one thing that a plan can break."""

    kind: WarningKind
    service: str
    detail: str
    customer: str = ""


class Affected(msgspec.Struct, frozen=True):
    """Name what a plan affects: services, their announced upstreams and instances, customers."""

    services: tuple[str, ...]
    upstreams: tuple[str, ...]
    instances: tuple[str, ...]
    customers: tuple[str, ...] = ()


def find_affected(changes: Changes, upstreams: Sequence[Upstream]) -> Affected:
    """Return what the changes affect, given the announced upstreams."""
    services = {service.name for service in changes.put} | set(changes.removed)
    reached = [upstream for upstream in upstreams if upstream.service in services]
    return Affected(
        tuple(sorted(services)),
        tuple(sorted({upstream.name for upstream in reached})),
        tuple(sorted({upstream.owner.name for upstream in reached})),
        tuple(sorted({c.name for c in changes.customers.put} | set(changes.customers.removed))),
    )


def find_warnings(
    before: Configuration,
    changes: Changes,
    differences: Sequence[Difference],
    upstreams: Sequence[Upstream],
) -> tuple[PlanWarning, ...]:
    """Return the warnings of a plan, given the currently announced upstreams.

    `differences` are those that `compute_differences` returns for the same changes.
    """
    ready = _group_ready(upstreams)
    current = {service.name: service for service in before.services}
    found: list[PlanWarning] = []
    for service in changes.put:
        candidates = ready.get(service.name, [])
        found += _find_upstream_warnings(current.get(service.name), service, candidates)
        found += _find_wait_warnings(current.get(service.name), service)
        found += _find_unreachable_rules(service)
    for name in changes.removed:
        found += _find_removal_warnings(name, ready.get(name, []))
    found += _find_difference_warnings(differences)
    found += _find_shared_hosts(before, changes)
    return tuple(found)


def _group_ready(upstreams: Sequence[Upstream]) -> dict[str, list[Upstream]]:
    ready: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        if upstream.state is UpstreamState.READY:
            ready.setdefault(upstream.service, []).append(upstream)
    return ready


def _find_upstream_warnings(
    before: Service | None, after: Service, candidates: list[Upstream]
) -> Iterator[PlanWarning]:
    admitted = [upstream.name for upstream in candidates if may_serve(after, upstream.name)]
    announced = f"{len(admitted)} announced, {after.needed_upstreams} needed"
    if not admitted:
        patterns = format_value(after.upstreams)
        text = f"no announced upstream matches {patterns}; {after.needed_upstreams} needed"
        yield PlanWarning(WarningKind.NO_UPSTREAMS, after.name, text)
    elif len(admitted) < after.needed_upstreams:
        yield PlanWarning(WarningKind.FEWER_UPSTREAMS, after.name, announced)
    if before is None:
        return
    lost = [u.name for u in candidates if may_serve(before, u.name) and u.name not in admitted]
    if lost:
        text = f"no longer admitted: {', '.join(sorted(lost))}"
        yield PlanWarning(WarningKind.UPSTREAMS_LOST, after.name, text)


def _find_wait_warnings(before: Service | None, after: Service) -> Iterator[PlanWarning]:
    if before is None:
        return
    waits = {(rule.methods, rule.path): rule.longest_wait_ms for rule in before.rules}
    pairs = [("longest_wait_ms", before.longest_wait_ms, after.longest_wait_ms)]
    for rule in after.rules:
        old = waits.get((rule.methods, rule.path)) or before.longest_wait_ms
        name = f"{'|'.join(rule.methods) or 'any'} {rule.path}: longest_wait_ms"
        if rule.longest_wait_ms is not None:
            pairs.append((name, old, rule.longest_wait_ms))
    for name, old, new in pairs:
        if new < old:
            text = f"{name}: {format_value(old)} -> {format_value(new)}"
            yield PlanWarning(WarningKind.WAIT_SHORTENED, after.name, text)


def _find_unreachable_rules(service: Service) -> Iterator[PlanWarning]:
    for position, rule in enumerate(service.rules):
        methods = set(rule.methods)
        for earlier in service.rules[:position]:
            is_wider = earlier.path in ("*", rule.path)
            if is_wider and (not earlier.methods or methods and methods <= set(earlier.methods)):
                name = f"{'|'.join(rule.methods) or 'any'} {rule.path}"
                text = f"{name} is never reached: an earlier rule matches first"
                yield PlanWarning(WarningKind.UNREACHABLE_RULE, service.name, text)
                break


def _find_removal_warnings(name: str, candidates: list[Upstream]) -> Iterator[PlanWarning]:
    if candidates:
        text = f"{len(candidates)} announced upstreams still serve it"
        yield PlanWarning(WarningKind.SERVICE_IN_USE, name, text)


def _find_difference_warnings(differences: Sequence[Difference]) -> Iterator[PlanWarning]:
    added = {d.service for d in differences if d.kind is DifferenceKind.SERVICE_ADDED}
    for difference in differences:
        text = f"{difference.field}: {difference.before} -> {difference.after}"
        if difference.service in added:
            continue
        if difference.kind is DifferenceKind.RULE_LOOSENED:
            yield PlanWarning(WarningKind.RULE_LOOSENED, difference.service, text)
        if difference.field.startswith("limits.") and _is_limit_lowered(difference):
            yield PlanWarning(WarningKind.LIMIT_LOWERED, difference.service, text)


def _is_limit_lowered(difference: Difference) -> bool:
    return float(difference.after) < float(difference.before)


def _find_shared_hosts(before: Configuration, changes: Changes) -> Iterator[PlanWarning]:
    after = apply_changes(before, changes, before.version)
    services: dict[str, list[str]] = {}
    for service in after.services:
        for host in service.hosts:
            services.setdefault(host, []).append(service.name)
    for host, names in services.items():
        if len(names) > 1:
            text = f"host {host} names {', '.join(names)}"
            yield PlanWarning(WarningKind.SHARED_HOST, names[0], text)
