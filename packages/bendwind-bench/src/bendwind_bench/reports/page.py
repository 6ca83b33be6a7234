"""Generate the page of measurements from the results, so that no figure is typed by hand."""

import statistics
from pathlib import Path

from bendwind_bench.reports.number import format_number
from bendwind_bench.reports.result import FOLDER, Result, read_results

PAGE = Path("docs/MEASUREMENTS.md")
_HEADER = """# Measurements

Written by `python -m bendwind_bench page` from the JSON files in `measurements/`; change nothing
here by hand. Each figure is the median over the runs of its experiment. All processes ran on one
machine, on loopback; only ratios within one experiment carry over to other machines. Latencies
count from the time at which the load's plan meant a call to arrive.
"""


def write_page() -> None:
    """Write the page from all stored results."""
    parts = [_HEADER, *(_format_result(result) for result in read_results())]
    PAGE.write_text("\n".join(parts))


def print_result(result: Result) -> None:
    """Print the medians and checks of the runs so far."""
    print("\n".join([*_format_medians(result), "", *_format_checks(result)]), flush=True)


def _format_result(result: Result) -> str:
    load = ", ".join(f"{value:.1f}" for value in result.load_average)
    lines = [
        f"## {result.title}",
        "",
        result.about,
        "",
        f"`{result.command}`",
        "",
        f"{len(result.runs)} runs on {result.measured_on} at commit {result.commit}, "
        f"{result.cores} cores, load average {load} over 1, 5, 15 minutes at the start.",
        "",
        *_format_medians(result),
        "",
        *_format_checks(result),
        *(f"- {note}" for note in result.notes),
        "",
    ]
    if (FOLDER / f"{result.name}.png").exists():
        lines += [f"![Latency over time]({FOLDER.name}/{result.name}.png)", ""]
    return "\n".join(lines)


def _format_medians(result: Result) -> list[str]:
    medians = result.medians()
    metrics = list(dict.fromkeys(metric for row in medians.values() for metric in row))
    lines = ["| | " + " | ".join(metrics) + " |", "|---" + "|---:" * len(metrics) + "|"]
    for variant, row in medians.items():
        cells = [format_number(row[metric]) if metric in row else "" for metric in metrics]
        lines.append(f"| {variant} | " + " | ".join(cells) + " |")
    return lines


def _format_checks(result: Result) -> list[str]:
    if not result.checks:
        return []
    lines = ["| aim | limit | median | lowest to highest | |", "|---|---:|---:|---:|---|"]
    for check in result.checks:
        values = result.check_values(check)
        if not values:
            lines.append(f"| {check.text} | {check.limit} | not measured | | |")
            continue
        median = statistics.median(values)
        spread = f"{format_number(min(values))} to {format_number(max(values))}"
        conclusion = "reached" if check.is_reached(median) else "**not reached**"
        lines.append(
            f"| {check.text} | {check.limit} | {format_number(median)} | {spread} | {conclusion} |"
        )
    return [*lines, ""]
