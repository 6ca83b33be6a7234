"""Work out the exact differences that a plan's changes make."""

import enum
from collections.abc import Iterator

import msgspec

from bendwind_core.core import Record
from bendwind_core.plans.changes import Changes
from bendwind_core.plans.rule_effects import describe_rule, find_rule_effects
from bendwind_core.world import Configuration, Rule, Service


class DifferenceKind(enum.StrEnum):
    """Name what differs."""

    SERVICE_ADDED = "service-added"
    SERVICE_REMOVED = "service-removed"
    FIELD_CHANGED = "field-changed"
    RULE_ADDED = "rule-added"
    RULE_REMOVED = "rule-removed"
    RULE_CHANGED = "rule-changed"
    RULE_LOOSENED = "rule-loosened"
    RULE_TIGHTENED = "rule-tightened"
    RULES_REORDERED = "rules-reordered"
    KEYS_NEEDED = "keys-needed"
    CUSTOMER_ADDED = "customer-added"
    CUSTOMER_REMOVED = "customer-removed"
    CUSTOMER_CHANGED = "customer-changed"
    KEYS_ADDED = "keys-added"
    KEYS_WITHDRAWN = "keys-withdrawn"


class Difference(msgspec.Struct, frozen=True):
    """Name one thing that differs, with its values before and after as text.

    It is of a service or of a customer; where both are empty, of all customers.
    """

    kind: DifferenceKind
    service: str
    field: str = ""
    before: str = ""
    after: str = ""
    customer: str = ""


# Compared rule by rule, or limit by limit, instead of as one value.
_COMPARED_IN_PARTS = frozenset({"name", "rules", "limits"})


def compute_differences(before: Configuration, changes: Changes) -> tuple[Difference, ...]:
    """List every difference that the changes make to services, in the order of names."""
    present = {service.name: service for service in before.services}
    wanted = {service.name: service for service in changes.put}
    removed = set(changes.removed) & present.keys()
    return tuple(
        difference
        for name in sorted(wanted.keys() | removed)
        for difference in _compare(present.get(name), wanted.get(name))
    )


def _compare(before: Service | None, after: Service | None) -> Iterator[Difference]:
    if before is None and after is not None:
        yield Difference(
            DifferenceKind.SERVICE_ADDED, after.name, after=format_value(after.upstreams)
        )
        yield from _compare_services(Service(after.name, after.upstreams), after)
    elif before is not None and after is None:
        upstreams = format_value(before.upstreams)
        yield Difference(DifferenceKind.SERVICE_REMOVED, before.name, before=upstreams)
    elif before is not None and after is not None:
        yield from _compare_services(before, after)
        yield from _compare_effects(before, after)


def _compare_services(before: Service, after: Service) -> Iterator[Difference]:
    for field in Service.__struct_fields__:
        if field not in _COMPARED_IN_PARTS:
            yield from _compare_field(after.name, field, before, after)
    for field in type(after.limits).__struct_fields__:
        yield from _compare_field(after.name, field, before.limits, after.limits, "limits.")
    if before.rules != after.rules:
        yield from _compare_rules(before, after)


def _compare_field(
    service: str, field: str, before: Record, after: Record, prefix: str = ""
) -> Iterator[Difference]:
    old, new = getattr(before, field), getattr(after, field)
    if old != new:
        yield Difference(
            DifferenceKind.FIELD_CHANGED,
            service,
            prefix + field,
            format_value(old),
            format_value(new),
        )


def _compare_rules(before: Service, after: Service) -> Iterator[Difference]:
    old = {_rule_key(rule): rule for rule in before.rules}
    new = {_rule_key(rule): rule for rule in after.rules}
    for key in [key for key in old if key not in new]:
        yield _rule_difference(DifferenceKind.RULE_REMOVED, after.name, old[key], None)
    for key in [key for key in new if key not in old]:
        yield _rule_difference(DifferenceKind.RULE_ADDED, after.name, None, new[key])
    for key in [key for key in new if key in old and old[key] != new[key]]:
        yield _rule_difference(DifferenceKind.RULE_CHANGED, after.name, old[key], new[key])
    if [key for key in old if key in new] != [key for key in new if key in old]:
        order = ", ".join(describe_rule(rule) for rule in after.rules)
        yield Difference(DifferenceKind.RULES_REORDERED, after.name, "rules", after=order)


def _rule_key(rule: Rule) -> tuple[tuple[str, ...], str]:
    return tuple(sorted(rule.methods)), rule.path


def _rule_difference(
    kind: DifferenceKind, service: str, before: Rule | None, after: Rule | None
) -> Difference:
    named = after or before
    assert named is not None
    old = "" if before is None else _format_rule(before)
    new = "" if after is None else _format_rule(after)
    return Difference(kind, service, f"rules[{describe_rule(named)}]", old, new)


def _format_rule(rule: Rule) -> str:
    parts = [f"repeat {rule.repeat}"]
    if rule.key_required:
        parts.append("key required")
    if rule.is_open:
        parts.append("open")
    if rule.longest_wait_ms is not None:
        parts.append(f"longest wait {format_value(rule.longest_wait_ms)} ms")
    return ", ".join(parts)


def _compare_effects(before: Service, after: Service) -> Iterator[Difference]:
    for effect in find_rule_effects(before, after):
        is_loosened = effect.is_loosened
        kind = DifferenceKind.RULE_LOOSENED if is_loosened else DifferenceKind.RULE_TIGHTENED
        field = f"{effect.method} {effect.path}: {effect.aspect}"
        yield Difference(kind, after.name, field, effect.before, effect.after)


def format_value(value: object) -> str:
    """Return a value of a service's field as plans show it.

    >>> format_value(1500.0), format_value(None), format_value(("a", "b"))
    ('1500', 'none', 'a, b')
    """
    match value:
        case None:
            return "none"
        case float():
            return str(int(value)) if value.is_integer() else str(value)
        case tuple():
            return ", ".join(str(part) for part in value) or "none"
        case _:
            return str(value)
