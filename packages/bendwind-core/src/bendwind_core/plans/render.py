"""Show a plan as lines of text that read like a diff."""

from collections.abc import Sequence

from bendwind_core.plans.difference import Difference, DifferenceKind
from bendwind_core.plans.warning import PlanWarning

_SIGNS = {
    DifferenceKind.RULE_ADDED: "+",
    DifferenceKind.RULE_REMOVED: "-",
    DifferenceKind.RULE_LOOSENED: "!",
    DifferenceKind.RULE_TIGHTENED: "^",
}


def render_plan(
    differences: Sequence[Difference], warnings: Sequence[PlanWarning]
) -> tuple[str, ...]:
    """Return the lines of a plan: each service with its differences, then the warnings."""
    lines: list[str] = []
    service = ""
    for difference in differences:
        if difference.service != service:
            service = difference.service
            lines.append(_render_service(difference))
        lines += _render_difference(difference)
    if not differences:
        lines.append("no changes")
    lines += [f"warning: {w.service}: {w.kind}: {w.detail}" for w in warnings]
    return tuple(lines)


def _render_service(first: Difference) -> str:
    match first.kind:
        case DifferenceKind.SERVICE_ADDED:
            return f"+ service {first.service} (upstreams {first.after})"
        case DifferenceKind.SERVICE_REMOVED:
            return f"- service {first.service} (upstreams {first.before})"
        case _:
            return f"~ service {first.service}"


def _render_difference(difference: Difference) -> list[str]:
    match difference.kind:
        case DifferenceKind.SERVICE_ADDED | DifferenceKind.SERVICE_REMOVED:
            return []
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
