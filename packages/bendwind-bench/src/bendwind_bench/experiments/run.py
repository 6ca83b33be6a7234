"""Run an experiment several times, write its result, plot and table, and regenerate the page."""

import importlib
import os
import platform
import subprocess

from bendwind_bench.reports.page import print_result, write_page
from bendwind_bench.reports.plot import write_plot
from bendwind_bench.reports.result import FOLDER, Result, write_result

EXPERIMENTS = {
    "added-latency": "added_latency",
    "claims": "claims",
    "fast-failure": "fast_failure",
    "measuring": "measuring",
    "overload": "overload",
    "slowdown": "slowdown",
    "throughput": "throughput",
}
MAX_NOTES = 5
MAX_LATE_MS = 20.0


async def run_experiment(name: str, runs: int, seed: int, direct: bool) -> int:
    """Run an experiment and return the exit code, which is 1 if a guarantee was violated."""
    module = importlib.import_module(f"bendwind_bench.experiments.{EXPERIMENTS[name]}")
    result = _begin(name, module, runs, seed)
    violations: list[str] = []
    for number in range(runs):
        print(f"{name}: run {number + 1} of {runs}", flush=True)
        measurements = await module.run_once(seed + number, direct)
        result.runs.append(measurements.figures)
        violations += measurements.violations
        print_result(result)
    result.notes = [f"Broken promise: {line}" for line in violations[:MAX_NOTES]]
    result.notes += _find_late_variants(result)
    if not direct:
        write_result(result)
        if measurements.panels:
            write_plot(measurements.panels, FOLDER / f"{name}.png")
        write_page()
    return 1 if violations else 0


def _find_late_variants(result: Result) -> list[str]:
    medians = result.medians()
    late = {name: row.get("late p99 ms", 0.0) for name, row in medians.items()}
    return [
        f"{name}: the load tool itself was late by {late_ms:.0f} ms at p99, so that the latencies "
        "and errors of this row are not those of the nodes alone."
        for name, late_ms in late.items()
        if late_ms > MAX_LATE_MS
    ]


def _begin(name: str, module, runs: int, seed: int) -> Result:
    return Result(
        name=name,
        title=module.TITLE,
        about=module.ABOUT,
        command=f"python -m bendwind_bench experiment {name} --runs {runs} --seed {seed}",
        measured_on=f"Python {platform.python_version()} ({platform.machine()})",
        commit=_read_commit(),
        cores=os.cpu_count() or 0,
        load_average=list(os.getloadavg()),
        runs=[],
        checks=module.CHECKS,
    )


def _read_commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip() or "unknown"
