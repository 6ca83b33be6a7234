"""Format the figures of emulated runs as tables, a plot and JSON."""

import statistics
from collections.abc import Iterator
from pathlib import Path

import msgspec

from bendwind_bench.emulator.compare import Difference
from bendwind_bench.emulator.tally import Fate, Figures

_OUTCOME_COLUMNS = (
    ("in_time", "in time"),
    ("late", "late"),
    ("refused", "refused"),
    ("failed", "failed"),
    ("worst", "worst 4 s"),
    ("sent_back", "sent back"),
    ("busiest", "busiest"),
    ("retries", "retries"),
    ("fell_over", "fell over"),
    ("crashed", "crashed"),
    ("crash_repeats", "repeats"),
    ("wronged", "wronged"),
)
_CAPACITY_COLUMNS = (
    ("waited_free", "waited"),
    ("waited_free_s", "seconds"),
    ("sent_back_a_call", "back/call"),
    ("for_nothing", "for nothing"),
    ("worst_in_time", "worst 10th"),
    ("worst_served", "served"),
    ("limit_worst", "limit worst"),
    ("limit_used", "limit used"),
)
_GROUP_COLUMNS = ("requests", "in-time", "served", "late", "refused", "failed")
_COLUMN_WIDTH = 12


class Side(msgspec.Struct, frozen=True):
    """Hold the runs of one side of a comparison; `label` names the side."""

    label: str
    seeds: tuple[int, ...]
    runs: tuple[Figures, ...]


class ScenarioReport(msgspec.Struct, frozen=True):
    """Hold the runs of one scenario and, if two sides were run, their differences."""

    scenario: str
    sides: tuple[Side, ...]
    differences: dict[str, Difference]


def render(reports: list[ScenarioReport]) -> str:
    """Return the table of mean figures, with the paired differences below each pair of sides."""
    return _render_table(reports, _OUTCOME_COLUMNS)


def render_capacity(reports: list[ScenarioReport]) -> str:
    """Return the table of waits, refusals, runs for nothing, worst customers and rate limits."""
    return _render_table(reports, _CAPACITY_COLUMNS)


def _render_table(reports: list[ScenarioReport], columns: tuple[tuple[str, str], ...]) -> str:
    lines = [_render_row("scenario", [title for _, title in columns])]
    for report in reports:
        lines += _render_report(report, [key for key, _ in columns])
    return "\n".join(lines)


def _render_row(name: str, cells: list[str]) -> str:
    return f"{name[:24]:24}" + "".join(cell.rjust(_COLUMN_WIDTH) for cell in cells)


def _render_report(report: ScenarioReport, keys: list[str]) -> Iterator[str]:
    for side in report.sides:
        name = report.scenario if side.label == "" else f"  {side.label}"
        means = [statistics.mean(getattr(run, key) for run in side.runs) for key in keys]
        yield _render_row(name, [f"{mean:.3f}" for mean in means])
    if report.differences:
        shown = [report.differences.get(key) for key in keys]
        yield _render_row("  difference", [_render_difference(item) for item in shown])
        errors = ["" if item is None else f"{item.error:.3f}" for item in shown]
        yield _render_row("  standard error", errors)


def _render_difference(item: Difference | None) -> str:
    return "" if item is None else f"{item.mean:+.3f}{'*' if item.is_clear else ''}"


def render_groups(reports: list[ScenarioReport]) -> str:
    """Return the table of request outcomes by route and by rank for each scenario."""
    lines = [_render_row("", list(_GROUP_COLUMNS))]
    for report in reports:
        for side in report.sides:
            lines.append(side.label or report.scenario)
            lines += _render_group_rows(side, "routes")
            lines += _render_group_rows(side, "ranks")
    return "\n".join(lines)


def _render_group_rows(side: Side, table: str) -> Iterator[str]:
    tables = [getattr(run, table) for run in side.runs]
    for group in sorted({group for found in tables for group in found}):
        rows = [found[group] for found in tables if group in found]
        means = [statistics.mean(row[key] for row in rows) for key in _GROUP_COLUMNS]
        cells = [f"{means[0]:.0f}", *(f"{mean:.3f}" for mean in means[1:])]
        name = f"  {group} (rank {rows[0]['rank']:g})" if table == "routes" else f"  rank {group}"
        yield _render_row(name, cells)


def render_windows(reports: list[ScenarioReport]) -> str:
    """Return the share of requests in time by window of two seconds for each scenario."""
    lines = []
    for report in reports:
        for side in report.sides:
            windows = sorted({float(key) for run in side.runs for key in run.windows})
            shares = [_mean_in_time(side, f"{window:g}") for window in windows]
            row = " ".join(f"{share:.2f}" for share in shares)
            lines.append(f"{(side.label or report.scenario)[:24]:24}{row}")
    return "\n".join(lines)


def _mean_in_time(side: Side, window: str) -> float:
    found = [run.windows[window][Fate.IN_TIME] for run in side.runs if window in run.windows]
    return statistics.mean(found)


def to_json(reports: list[ScenarioReport]) -> bytes:
    """Return the figures as JSON; the same runs give the same bytes."""
    rows = [
        {
            "scenario": report.scenario,
            "side": side.label,
            "runs": [
                {"seed": seed, "figures": msgspec.to_builtins(run)}
                for seed, run in zip(side.seeds, side.runs, strict=True)
            ],
        }
        for report in reports
        for side in report.sides
    ]
    return msgspec.json.format(msgspec.json.encode(rows, order="sorted"), indent=1) + b"\n"


def write_plot(reports: list[ScenarioReport], file: Path) -> None:
    """Plot the share of requests in time by window, with one panel for each scenario."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = (len(reports) + 2) // 3
    figure, axes = pyplot.subplots(rows, min(3, len(reports)), squeeze=False, sharey=True)
    figure.set_size_inches(5 * min(3, len(reports)), 2.6 * rows)
    for panel in axes.flat[len(reports) :]:
        panel.set_visible(False)
    for panel, report in zip(axes.flat, reports, strict=False):
        for side in report.sides:
            windows = sorted({float(key) for run in side.runs for key in run.windows})
            shares = [_mean_in_time(side, f"{window:g}") for window in windows]
            panel.plot(windows, shares, marker=".", label=side.label or "this")
        panel.set_title(report.scenario, fontsize=9)
        panel.set_ylim(0, 1.02)
        panel.set_xlabel("s")
        panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)


__all__ = [
    "ScenarioReport",
    "Side",
    "render",
    "render_capacity",
    "render_groups",
    "render_windows",
    "to_json",
    "write_plot",
]
