"""Plot latency over time, with the faults marked."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bendwind_bench.load import Outcome, Sample
from bendwind_core.core import Seconds

_COLOURS = {
    Outcome.WHOLE: "#4477aa",
    Outcome.NOT_RUN: "#ccbb44",
    Outcome.UNKNOWN: "#ee6677",
    Outcome.REFUSED: "#aa3377",
    Outcome.FAILED: "#cc3311",
    Outcome.BROKEN: "#000000",
}
_SIZE_INCHES = (10.0, 2.6)


@dataclass(frozen=True, slots=True)
class Span:
    """Hold the time during which a fault lasted."""

    start_s: Seconds
    end_s: Seconds
    label: str


@dataclass(frozen=True, slots=True)
class Panel:
    """Hold one panel of a plot: its samples and the faults during them."""

    title: str
    samples: list[Sample]
    spans: Sequence[Span] = ()


def write_plot(panels: list[Panel], file: Path) -> None:
    """Plot the panels one above the other, on the same axes, to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    width, height = _SIZE_INCHES
    size = (width, height * len(panels))
    figure, axes = pyplot.subplots(
        len(panels),
        1,
        sharex=True,
        sharey=True,
        squeeze=False,
        figsize=size,
    )
    for axis, panel in zip(axes[:, 0], panels, strict=True):
        _draw_panel(axis, panel)
    axes[-1, 0].set_xlabel("seconds from the start of the load")
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)


def _draw_panel(axis, panel: Panel) -> None:
    for span in panel.spans:
        axis.axvspan(span.start_s, span.end_s, color="#bbbbbb", alpha=0.5, linewidth=0)
        place = (span.start_s, 1.0)
        axis.annotate(span.label, place, xycoords=("data", "axes fraction"), fontsize=5)
    for outcome, colour in _COLOURS.items():
        found = [sample for sample in panel.samples if sample.outcome is outcome]
        if found:
            times = [sample.at_s for sample in found]
            latencies = [max(sample.latency_ms, 0.01) for sample in found]
            axis.scatter(times, latencies, s=2, color=colour, label=f"{outcome} ({len(found)})")
    axis.set_yscale("log")
    axis.set_ylabel("ms")
    axis.set_title(panel.title, fontsize=9, pad=10)
    axis.legend(loc="upper right", fontsize=6)
