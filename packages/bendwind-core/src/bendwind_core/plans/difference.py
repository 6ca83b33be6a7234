"""Compute the exact differences that a plan's changes make."""

import enum
from collections.abc import Iterator

import msgspec

from bendwind_core.core import Record
from bendwind_core.plans.changes import Changes
from bendwind_core.plans.rule_effects import describe_rule, find_rule_effects
from bendwind_core.world import Configuration, Rule, Service


class DifferenceKind(enum.StrEnum):
    """Enumerate what can differ."""

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
    """Describe one difference, with the values before and after as text.

    It belongs to a service or to a customer. If both are empty, it concerns all customers.
    """

    kind: DifferenceKind
    service: str
    field: str = ""
    before: str = ""
    after: str = ""
    customer: str = ""


# Rules are compared one by one and limits one by one, not as one value. A name never differs, since
# services are compared by name.
_COMPARED_IN_PARTS = frozenset({"name", "rules", "limits"})


def compute_differences(before: Configuration, changes: Changes) -> tuple[Difference, ...]:
    """Return every difference that the changes make to services, sorted by service name."""
    current = {service.name: service for service in before.services}
    desired = {service.name: service for service in changes.put}
    removed = set(changes.removed) & current.keys()
    return tuple(
        difference
        for name in sorted(desired.keys() | removed)
        for difference in _compare_service(current.get(name), desired.get(name))
    )


def _compare_service(before: Service | None, after: Service | None) -> Iterator[Difference]:
    if before is None and after is not None:
        yield Difference(
            DifferenceKind.SERVICE_ADDED, after.name, after=format_value(after.upstreams)
        )
        yield from _compare_service_fields(Service(after.name, after.upstreams), after)
    elif before is not None and after is None:
        upstreams = format_value(before.upstreams)
        yield Difference(DifferenceKind.SERVICE_REMOVED, before.name, before=upstreams)
    elif before is not None and after is not None:
        yield from _compare_service_fields(before, after)
        yield from _compare_effects(before, after)


def _compare_service_fields(before: Service, after: Service) -> Iterator[Difference]:
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
    old = {_make_rule_key(rule): rule for rule in before.rules}
    new = {_make_rule_key(rule): rule for rule in after.rules}
    for key in [key for key in old if key not in new]:
        yield _make_rule_difference(DifferenceKind.RULE_REMOVED, after.name, old[key], None)
    for key in [key for key in new if key not in old]:
        yield _make_rule_difference(DifferenceKind.RULE_ADDED, after.name, None, new[key])
    for key in [key for key in new if key in old and old[key] != new[key]]:
        yield _make_rule_difference(DifferenceKind.RULE_CHANGED, after.name, old[key], new[key])
    if [key for key in old if key in new] != [key for key in new if key in old]:
        order = ", ".join(describe_rule(rule) for rule in after.rules)
        yield Difference(DifferenceKind.RULES_REORDERED, after.name, "rules", after=order)


def _make_rule_key(rule: Rule) -> tuple[tuple[str, ...], str]:
    return tuple(sorted(rule.methods)), rule.path


def _make_rule_difference(
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
    """Return the text with which plans show the value of a field.

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
