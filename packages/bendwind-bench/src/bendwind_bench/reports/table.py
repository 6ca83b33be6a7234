"""Format results as text tables."""

from bendwind_bench.load import GuaranteeReport, Outcome, Sample
from bendwind_bench.reports.latency import summarize

SUMMARY_HEADER = [
    "service",
    "calls",
    "p50 ms",
    "p99 ms",
    "whole",
    "not-run",
    "unknown",
    "refused",
    "failed",
    "doubled",
]


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Format rows under a header, the first column aligned left and the others right.

    >>> print(format_table(["a", "n"], [["x", "10"]]))
    a   n
    x  10
    """
    widths = [max(len(row[index]) for row in [header, *rows]) for index in range(len(header))]
    lines = []
    for row in [header, *rows]:
        first = row[0].ljust(widths[0])
        rest = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join([first, *rest]))
    return "\n".join(lines)


def format_summary_table(samples: list[Sample], guarantees: GuaranteeReport) -> str:
    """Format one row per service: calls, latencies, outcomes and requests that ran twice."""
    services = sorted({sample.service for sample in samples})
    rows = [_format_summary_row(service, samples, guarantees) for service in services]
    return format_table(SUMMARY_HEADER, rows)


def _format_summary_row(
    service: str, samples: list[Sample], guarantees: GuaranteeReport
) -> list[str]:
    summary = summarize([sample for sample in samples if sample.service == service])
    kinds = (Outcome.WHOLE, Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.REFUSED, Outcome.FAILED)
    counts = [str(summary.outcomes.get(kind, 0)) for kind in kinds]
    times = [f"{summary.p50_ms:.1f}", f"{summary.p99_ms:.1f}"]
    return [service, str(summary.sends), *times, *counts, str(guarantees.doubled[service])]
