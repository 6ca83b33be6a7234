"""Generate docs/CAPACITY.md from the measured slopes, so that no figure is typed by hand."""

import string
from pathlib import Path

from bendwind_bench.capacity.findings import compare, list_findings
from bendwind_bench.capacity.model.events import EventCost, list_events
from bendwind_bench.capacity.model.roles import Cost, list_costs
from bendwind_bench.capacity.model.sizes import (
    ADDED_P99_MS,
    CERTITERMICA,
    CONTROL_LIMITS,
    SIZES,
    SPREAD_LIMIT_MS,
    TARGET,
    Size,
)
from bendwind_bench.capacity.result import CapacityResult, read_result
from bendwind_bench.capacity.slope import Slope
from bendwind_bench.reports.number import format_number

PAGE = Path("docs/CAPACITY.md")
_TEMPLATE = Path(__file__).with_name("page.md")
_BYTES_PER_MB = 1e6
_BYTES_PER_KB = 1e3


def write_page() -> None:
    """Generate the page from the last result."""
    result = read_result()
    template = string.Template(_TEMPLATE.read_text())
    PAGE.write_text(template.substitute(_make_substitutions(result)))


def _make_substitutions(result: CapacityResult) -> dict[str, str]:
    load = ", ".join(f"{value:.1f}" for value in result.load_average)
    trial = "**These are the figures of a trial run, on a machine busy with other work.**\n\n"
    return {
        "trial": trial if result.is_trial else "",
        "measured_on": result.measured_on,
        "commit": result.commit,
        "cores": str(result.cores),
        "load": load,
        "note": result.note,
        "seconds": f"{result.seconds:.0f}",
        "sizes": _format_sizes(),
        "roles": "\n".join(_format_roles(result, size) for size in SIZES),
        "promises": _format_promises(result),
        "findings": "\n".join(
            f"{n}. {text}" for n, text in enumerate(_list_target_findings(result), 1)
        ),
        "slopes": _format_slopes(result),
        "figures": _format_figures(result),
        "kinds": _format_kinds(result),
        "events": _format_events(list_events(result, TARGET)),
    }


def _list_target_findings(result: CapacityResult) -> list[str]:
    return list_findings(result, TARGET)


def _format_sizes() -> str:
    rows = [
        ("upstreams, each with its node", lambda size: size.upstreams),
        ("services", lambda size: size.services),
        ("data centres", lambda size: size.data_centres),
        ("control voters", lambda size: size.voters),
        ("calls a second from outside", lambda size: size.calls_per_s),
        (
            "calls that one from outside causes, itself included (assumed mean)",
            lambda s: s.calls_per_external_call,
        ),
        ("share of calls from outside with a key (assumed)", lambda size: size.keyed_share),
        ("time that a call is held, s (assumed)", lambda size: size.call_duration_s),
        ("services a node calls or serves (assumed)", lambda size: size.watched_services),
        ("nodes that watch a service", lambda size: size.watchers),
        ("heartbeat, s (setting)", lambda size: size.heartbeat_s),
        ("lease, s (setting)", lambda size: size.lease_s),
        ("changes of configuration a day", lambda size: size.changes_per_day),
        ("restarts a day", lambda size: size.restarts_per_day),
        ("failures a day", lambda size: size.failures_per_day),
    ]
    lines = ["| | " + " | ".join(size.title for size in SIZES) + " |"]
    lines.append("|---" + "|---:" * len(SIZES) + "|")
    for title, read in rows:
        cells = [format_number(float(read(size))) for size in SIZES]
        lines.append(f"| {title} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_roles(result: CapacityResult, size: Size) -> str:
    lines = [
        f"### {size.title}",
        "",
        "| role | state | state kB | messages in/s | out/s | % of a core | memory MB | kB/s |",
        "|---|---|---:|---:|---:|---:|---:|---:|",
    ]
    costs = list_costs(result, size)
    for cost in costs:
        numbers = (
            cost.state_bytes / _BYTES_PER_KB,
            cost.messages_in,
            cost.messages_out,
            cost.cpu_percent,
            cost.memory / _BYTES_PER_MB,
            cost.bytes_per_s / _BYTES_PER_KB,
        )
        cells = " | ".join(format_number(number) for number in numbers)
        lines.append(f"| {cost.role} | {cost.state} | {cells} |")
    lines += [
        "",
        "| role | state | processor | memory | bytes | carried by |",
        "|---|---|---|---|---|---|",
    ]
    lines += [_format_verdicts(cost) for cost in costs]
    return "\n".join([*lines, ""])


def _format_verdicts(cost: Cost) -> str:
    limits = cost.limits
    bound = f"{compare(cost.state_needed, cost.state_limit)} ({cost.state_limit:.0f})"
    cells = (
        bound if cost.state_limit else "",
        f"{compare(cost.cpu_percent, limits.cpu_percent)} ({limits.cpu_percent:g}%)",
        f"{compare(cost.memory, limits.memory)} ({limits.memory / _BYTES_PER_MB:g} MB)",
        f"{compare(cost.bytes_per_s, limits.bytes_per_s)} "
        f"({limits.bytes_per_s / _BYTES_PER_KB:g} kB/s)",
    )
    return f"| {cost.role} | " + " | ".join(cells) + f" | {cost.mechanism} |"


def _format_promises(result: CapacityResult) -> str:
    figures = result.figures
    added, spread = figures["added_p99_ms"], result.slopes["change_spread_ms"]
    max_spread_ms = figures["change_spread_most_ms"]
    nodes = max(point.size for point in spread.points)
    each_us = result.slopes["change_many_us"].slope + result.slopes["exchange_server_us"].slope / 2
    push_s = TARGET.watchers / TARGET.voters * each_us / 1e6
    all_s = TARGET.upstreams / TARGET.voters * each_us / 1e6
    lines = [
        "| aim | measured or worked out | limit | |",
        "|---|---|---:|---|",
        f"| added at p99, {CERTITERMICA.title.split()[0]}-like calls over one hop, ms "
        f"| {format_number(added)} | {ADDED_P99_MS} | {compare(added, ADDED_P99_MS)} |",
        f"| a change in force at the last of {nodes:.0f} nodes, worst of all measured, ms "
        f"| {format_number(max_spread_ms)} | {SPREAD_LIMIT_MS:.0f} "
        f"| {compare(max_spread_ms, SPREAD_LIMIT_MS)} |",
        f"| a change pushed by a voter to its share of {TARGET.watchers:.0f} watchers, links "
        f"included, ms | {format_number(push_s * 1e3)} | {SPREAD_LIMIT_MS:.0f} "
        f"| {compare(push_s * 1e3, SPREAD_LIMIT_MS)} |",
        f"| the same if all {TARGET.upstreams} nodes watch the service, ms "
        f"| {format_number(all_s * 1e3)} | {SPREAD_LIMIT_MS:.0f} "
        f"| {compare(all_s * 1e3, SPREAD_LIMIT_MS)} |",
        "| a node that missed the push has it after a heartbeat, or refuses after its lease, ms "
        f"| {TARGET.heartbeat_s * 1e3:.0f}, {TARGET.lease_s * 1e3:.0f} "
        f"| {SPREAD_LIMIT_MS:.0f} | {compare(TARGET.lease_s * 1e3, SPREAD_LIMIT_MS)} |",
        f"| a node's control, resident less its imports, today, MB "
        f"| {format_number(figures['node_control_kb'] * 1024 / _BYTES_PER_MB)} "
        f"| {CONTROL_LIMITS.memory / _BYTES_PER_MB:g} | "
        f"{compare(figures['node_control_kb'] * 1024, CONTROL_LIMITS.memory)} |",
        f"| a node's process in all, imports too, MB "
        f"| {format_number(figures['node_kb'] * 1024 / _BYTES_PER_MB)} "
        f"| {CONTROL_LIMITS.memory / _BYTES_PER_MB:g} | "
        f"{compare(figures['node_kb'] * 1024, CONTROL_LIMITS.memory)} |",
    ]
    return "\n".join(lines)


def _format_slopes(result: CapacityResult) -> str:
    lines = [
        "| what | per | slope | standard error | at zero | R² | measured at |",
        "|---|---|---:|---:|---:|---:|---|",
    ]
    for slope in result.slopes.values():
        lines.append(_format_slope(slope))
    return "\n".join(lines)


def _format_slope(slope: Slope) -> str:
    points = "; ".join(
        f"{format_number(point.size)}: {format_number(point.value)}"
        for point in _keep_largest_values(slope)
    )
    return (
        f"| {slope.title}, {slope.unit} | {slope.per} | {format_number(slope.slope)} "
        f"| {format_number(slope.slope_error)} | {format_number(slope.intercept)} "
        f"| {slope.r_squared:.3f} | {points} |"
    )


def _keep_largest_values(slope: Slope) -> list:
    sizes: dict[float, list] = {}
    for point in slope.points:
        sizes.setdefault(point.size, []).append(point)
    return [max(points, key=lambda point: point.value) for points in sizes.values()]


def _format_figures(result: CapacityResult) -> str:
    lines = ["| figure | value |", "|---|---:|"]
    for name, value in result.figures.items():
        lines.append(f"| `{name}` | {format_number(value)} |")
    return "\n".join(lines)


def _format_kinds(result: CapacityResult) -> str:
    lines = ["| message | bytes | encode, us | decode, us |", "|---|---:|---:|---:|"]
    for kind in result.kinds:
        times = f"{format_number(kind.encode_us)} | {format_number(kind.decode_us)}"
        lines.append(f"| {kind.name} | {kind.bytes} | {times} |")
    return "\n".join(lines)


def _format_events(events: list[EventCost]) -> str:
    lines = [
        "| event | messages | at the busiest voter | its processor time, s | settled after, s |",
        "|---|---:|---:|---:|---:|",
    ]
    for event in events:
        numbers = (event.messages, event.voter_messages, event.voter_busy_s, event.settle_s)
        cells = " | ".join(format_number(number) for number in numbers)
        lines.append(f"| {event.event} | {cells} |")
    lines += ["", "| event | callers see | promise at risk, and why it holds |", "|---|---|---|"]
    lines += [f"| {event.event} | {event.callers} | {event.promise} |" for event in events]
    return "\n".join(lines)
