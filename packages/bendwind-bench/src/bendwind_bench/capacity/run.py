"""Measure every slope and rewrite the page."""

import os
import platform
import statistics
import subprocess
import time

import trio

from bendwind_bench.capacity.design import read_design
from bendwind_bench.capacity.pure.adopted import (
    measure_many_watchers,
    measure_membership,
    measure_plans,
)
from bendwind_bench.capacity.pure.calls import measure_calls as measure_decisions
from bendwind_bench.capacity.pure.claims import measure_claims
from bendwind_bench.capacity.pure.codec import measure_bodies, measure_kinds
from bendwind_bench.capacity.pure.consensus import measure_idle_log, measure_log, measure_proposals
from bendwind_bench.capacity.pure.routing import measure_routing
from bendwind_bench.capacity.real.bare import measure_imports
from bendwind_bench.capacity.real.calls import measure_calls
from bendwind_bench.capacity.real.fleet import measure_fleets
from bendwind_bench.capacity.real.links import measure_links
from bendwind_bench.capacity.real.renewals import measure_renewals
from bendwind_bench.capacity.result import CapacityResult, write_result
from bendwind_bench.capacity.slope import Slope

_STARTED = time.monotonic()


def run_capacity(note: str, is_trial: bool) -> None:
    """Measure, then write the result."""
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
    _derive(result)
    result.seconds = time.monotonic() - _STARTED
    write_result(result)


def _read_commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def _take(result: CapacityResult, slopes: dict[str, Slope], figures=None) -> None:
    result.slopes |= slopes
    result.figures |= figures or {}
    names = ", ".join([*slopes, *(figures or ())])
    print(f"[{time.monotonic() - _STARTED:5.1f} s] measured {names}", flush=True)


async def _take_later(result: CapacityResult, measure) -> None:
    _take(result, await measure())


def _measure_pure(result: CapacityResult) -> None:
    result.kinds = measure_kinds()
    _take(result, measure_bodies())
    _take(result, measure_decisions())
    _take(result, measure_routing())
    _take(result, *measure_claims())
    _take(result, *measure_plans())
    _take(result, measure_proposals() | measure_log(), measure_idle_log())
    _take(result, *measure_membership())
    _take(result, measure_many_watchers())


async def _measure_real(result: CapacityResult) -> None:
    _take(result, {}, await measure_imports())
    # Both count processor time and memory only, so that they may run side by side.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_take_later, result, measure_links)
        nursery.start_soon(_take_later, result, measure_renewals)
    _take(result, *await measure_calls())
    _take(result, await measure_fleets())


def _derive(result: CapacityResult) -> None:
    """Work out figures that the model and the page both use."""
    figures = result.figures
    bare = figures["bare_daemon_kb"]
    for role in ("node", "voter", "leader"):
        values = [point.value for point in result.slopes[f"{role}_resident_kb"].points]
        figures[f"{role}_kb"] = statistics.fmean(values)
        figures[f"{role}_control_kb"] = statistics.fmean(values) - bare
    idle = [point.value for point in result.slopes["node_idle_percent"].points]
    figures["node_idle_percent"] = statistics.fmean(idle)
    spread = [point.value for point in result.slopes["change_spread_ms"].points]
    figures["change_spread_most_ms"] = max(spread)
