"""Lay out a tally as tables and draw it over time."""

import statistics
from pathlib import Path

from bendwind_bench.losses.causes import Cause
from bendwind_bench.losses.tally import Tally
from bendwind_bench.reports.table import format_table

_SIZE_INCHES = (10.0, 4.0)


def render_report(tally: Tally) -> str:
    """Return three tables: causes by route, causes with the reports' ages, seconds."""
    return "\n\n".join((_render_routes(tally), _render_causes(tally), _render_seconds(tally)))


def _render_routes(tally: Tally) -> str:
    rows = []
    for route, counts in sorted(tally.routes.items(), key=lambda item: -item[1].total()):
        worst = [(cause, n) for cause, n in counts.most_common() if cause is not Cause.NONE][:4]
        listed = "; ".join(f"{cause} {n}" for cause, n in worst)
        rows.append([route, str(counts.total()), _share(counts), listed])
    return format_table(["route", "calls", "in time", "most lost by"], rows)


def _share(counts) -> str:
    return f"{counts[Cause.NONE] / counts.total():.2f}"


def _render_causes(tally: Tally) -> str:
    rows = []
    for cause in Cause:
        number = sum(counts[cause] for counts in tally.routes.values())
        ages = tally.age_ms.get(cause, [])
        age = f"{statistics.median(ages):.0f}" if ages else "-"
        rows.append([str(cause), str(number), age])
    return format_table(["cause", "calls", "median age of reports, ms"], rows)


def _render_seconds(tally: Tally) -> str:
    rows = []
    for second, counts in sorted(tally.seconds.items()):
        worst = next((str(c) for c, _ in counts.most_common() if c is not Cause.NONE), "-")
        rows.append([str(second), str(counts.total()), _share(counts), worst])
    return format_table(["second", "calls", "in time", "most lost by"], rows)


def write_report(tally: Tally, file: Path) -> None:
    """Draw the calls of each second by cause into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=_SIZE_INCHES)
    seconds = sorted(tally.seconds)
    bottom = [0] * len(seconds)
    for cause in Cause:
        counts = [tally.seconds[second][cause] for second in seconds]
        if any(counts):
            axis.bar(seconds, counts, bottom=bottom, width=1.0, label=str(cause))
            bottom = [low + count for low, count in zip(bottom, counts, strict=True)]
    axis.set_xlabel("seconds from the first call")
    axis.set_ylabel("calls")
    axis.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)
