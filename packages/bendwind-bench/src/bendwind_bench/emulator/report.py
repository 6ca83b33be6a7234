"""Show the figures of emulated runs as a table, a plot and JSON."""

import statistics
from collections.abc import Iterator
from pathlib import Path

import msgspec

from bendwind_bench.emulator.compare import Difference
from bendwind_bench.emulator.tally import Fate, Figures

_COLUMNS = (
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
    ("urgent", "urgent"),
    ("put_behind", "behind"),
    ("least_kind", "least kind"),
    ("least_customer", "least cust"),
    ("others", "others"),
    ("for_nothing", "wasted"),
)


class Side(msgspec.Struct, frozen=True):
    """Hold the runs of one side of a comparison; `label` says which."""

    label: str
    seeds: tuple[int, ...]
    runs: tuple[Figures, ...]


class ScenarioReport(msgspec.Struct, frozen=True):
    """Hold what was run of one scenario, with the differences of the second side, if any."""

    scenario: str
    sides: tuple[Side, ...]
    differences: dict[str, Difference]


def render(reports: list[ScenarioReport]) -> str:
    """Return the table of the mean figures, with paired differences below each pair."""
    head = "".join(f"{title:>11}" for _, title in _COLUMNS)
    lines = [f"{'scenario':24}{head}"]
    for report in reports:
        lines += _render_one(report)
    return "\n".join(lines)


def _render_one(report: ScenarioReport) -> Iterator[str]:
    for side in report.sides:
        name = report.scenario if side.label == "" else f"  {side.label}"
        means = [statistics.mean(getattr(run, key) for run in side.runs) for key, _ in _COLUMNS]
        yield f"{name[:24]:24}" + "".join(f"{mean:11.3f}" for mean in means)
    if report.differences:
        shown = [report.differences.get(key) for key, _ in _COLUMNS]
        yield f"{'  difference':24}" + "".join(_render_difference(item) for item in shown)
        yield f"{'  standard error':24}" + "".join(
            " " * 11 if item is None else f"{item.error:11.3f}" for item in shown
        )


def _render_difference(item: Difference | None) -> str:
    if item is None:
        return " " * 11
    return f"{item.mean:+.3f}{'*' if item.is_clear else ''}".rjust(11)


def render_windows(reports: list[ScenarioReport]) -> str:
    """Return, for each scenario, the share in time by window of two seconds."""
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
    """Return the figures for machines; the same runs give the same bytes."""
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
    """Draw the share in time by window, one panel a scenario."""
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
    "render_windows",
    "to_json",
    "write_plot",
]
