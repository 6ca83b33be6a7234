"""Render a plan as lines of text in the style of a diff."""

from collections.abc import Sequence

from bendwind_core.plans.difference import Difference, DifferenceKind
from bendwind_core.plans.warning import PlanWarning

_SIGNS = {
    DifferenceKind.RULE_ADDED: "+",
    DifferenceKind.RULE_REMOVED: "-",
    DifferenceKind.RULE_LOOSENED: "!",
    DifferenceKind.RULE_TIGHTENED: "^",
    DifferenceKind.KEYS_ADDED: "+",
    DifferenceKind.KEYS_WITHDRAWN: "-",
}


def render_plan(
    differences: Sequence[Difference], warnings: Sequence[PlanWarning]
) -> tuple[str, ...]:
    """Return the lines of a plan: the differences by service and customer, then the warnings."""
    lines: list[str] = []
    subject = ("", "")
    for difference in differences:
        if (difference.service, difference.customer) != subject:
            subject = (difference.service, difference.customer)
            lines.append(_render_title(difference))
        lines += _render_difference(difference)
    if not differences:
        lines.append("no changes")
    lines += [_render_warning(warning) for warning in warnings]
    return tuple(lines)


def _render_warning(warning: PlanWarning) -> str:
    customer = f"customer {warning.customer}" if warning.customer else ""
    named = [name for name in (warning.service or customer, warning.kind) if name]
    return ": ".join(("warning", *named, warning.detail))


def _render_title(first: Difference) -> str:
    match first.kind:
        case DifferenceKind.SERVICE_ADDED:
            return f"+ service {first.service} (upstreams {first.after})"
        case DifferenceKind.SERVICE_REMOVED:
            return f"- service {first.service} (upstreams {first.before})"
        case DifferenceKind.CUSTOMER_ADDED:
            return f"+ customer {first.customer} ({first.after})"
        case DifferenceKind.CUSTOMER_REMOVED:
            return f"- customer {first.customer} ({first.before})"
        case _ if first.customer:
            return f"~ customer {first.customer}"
        case _:
            return f"~ service {first.service}"


def _render_difference(difference: Difference) -> list[str]:
    match difference.kind:
        case DifferenceKind.SERVICE_ADDED | DifferenceKind.SERVICE_REMOVED:
            return []
        case DifferenceKind.CUSTOMER_ADDED | DifferenceKind.CUSTOMER_REMOVED:
            return []
        case DifferenceKind.KEYS_NEEDED:
            return [f"~ keys: {difference.before} -> {difference.after}"]
        case DifferenceKind.KEYS_ADDED | DifferenceKind.KEYS_WITHDRAWN:
            text = difference.after or difference.before
        case DifferenceKind.RULE_ADDED:
            text = f"{difference.field}: {difference.after}"
        case DifferenceKind.RULE_REMOVED:
            text = f"{difference.field}: {difference.before}"
        case DifferenceKind.RULES_REORDERED:
            text = f"rules in the order: {difference.after}"
        case DifferenceKind.RULE_LOOSENED | DifferenceKind.RULE_TIGHTENED:
            word = difference.kind.removeprefix("rule-")
            text = f"{word}: {difference.field}: {difference.before} -> {difference.after}"
        case _:
            text = f"{difference.field}: {difference.before} -> {difference.after}"
    return [f"    {_SIGNS.get(difference.kind, '~')} {text}"]
