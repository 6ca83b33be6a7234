"""Run all measurements and write their result."""

import os
import platform
import statistics
import subprocess
import time

import trio

from bendwind_bench.capacity.design import read_design
from bendwind_bench.capacity.pure.calls import measure_calls as measure_decisions
from bendwind_bench.capacity.pure.claims import measure_claims
from bendwind_bench.capacity.pure.codec import measure_bodies, measure_kinds
from bendwind_bench.capacity.pure.consensus import measure_idle_log, measure_log, measure_proposals
from bendwind_bench.capacity.pure.membership_and_plans import (
    measure_many_watchers,
    measure_membership,
    measure_plans,
)
from bendwind_bench.capacity.pure.routing import measure_routing
from bendwind_bench.capacity.real.calls import measure_calls
from bendwind_bench.capacity.real.fleet import measure_fleets
from bendwind_bench.capacity.real.import_memory import measure_imports
from bendwind_bench.capacity.real.links import measure_links
from bendwind_bench.capacity.real.renewals import measure_renewals
from bendwind_bench.capacity.result import CapacityResult, write_result
from bendwind_bench.capacity.slope import Slope

_STARTED_AT = time.monotonic()


def run_capacity(note: str, is_trial: bool) -> None:
    """Run all measurements and write the result."""
    result = CapacityResult(
        measured_on=f"Python {platform.python_version()} ({platform.machine()})",
        commit=_read_commit(),
        cores=os.cpu_count() or 0,
        load_average=list(os.getloadavg()),
        note=note,
        is_trial=is_trial,
        seconds=0.0,
        design=read_design(),
        slopes={},
        figures={},
        kinds=(),
    )
    _measure_pure(result)
    trio.run(_measure_real, result)
    _add_derived_figures(result)
    result.seconds = time.monotonic() - _STARTED_AT
    write_result(result)


def _read_commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def _add(result: CapacityResult, slopes: dict[str, Slope], figures=None) -> None:
    result.slopes |= slopes
    result.figures |= figures or {}
    names = ", ".join([*slopes, *(figures or ())])
    print(f"[{time.monotonic() - _STARTED_AT:5.1f} s] measured {names}", flush=True)


async def _measure_and_add(result: CapacityResult, measure) -> None:
    _add(result, await measure())


def _measure_pure(result: CapacityResult) -> None:
    result.kinds = measure_kinds()
    _add(result, measure_bodies())
    _add(result, measure_decisions())
    _add(result, measure_routing())
    _add(result, *measure_claims())
    _add(result, *measure_plans())
    _add(result, measure_proposals() | measure_log(), measure_idle_log())
    _add(result, *measure_membership())
    _add(result, measure_many_watchers())


async def _measure_real(result: CapacityResult) -> None:
    _add(result, {}, await measure_imports())
    # Both measure only processor time and memory, so they can run concurrently.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_measure_and_add, result, measure_links)
        nursery.start_soon(_measure_and_add, result, measure_renewals)
    _add(result, *await measure_calls())
    _add(result, await measure_fleets())


def _add_derived_figures(result: CapacityResult) -> None:
    """Add the figures that both the model and the page use."""
    figures = result.figures
    import_memory = figures["bare_daemon_kb"]
    for role in ("node", "voter", "leader"):
        values = [point.value for point in result.slopes[f"{role}_resident_kb"].points]
        figures[f"{role}_kb"] = statistics.fmean(values)
        figures[f"{role}_control_kb"] = statistics.fmean(values) - import_memory
    idle = [point.value for point in result.slopes["node_idle_percent"].points]
    figures["node_idle_percent"] = statistics.fmean(idle)
    spread = [point.value for point in result.slopes["change_spread_ms"].points]
    figures["change_spread_most_ms"] = max(spread)
