"""Run scenarios with several seeds and compare them with another revision or setting."""

import concurrent.futures
import json
import math
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from bendwind_bench.emulator.scenario import load_scenario, scale_scenario
from bendwind_bench.emulator.tally import Figures
from bendwind_bench.emulator.world import run_scenario

COMPARED_FIGURES = (
    "in_time",
    "late",
    "refused",
    "failed",
    "worst",
    "sent_back",
    "busiest",
    "retries",
    "waited_free",
    "waited_free_s",
    "sent_back_a_call",
    "for_nothing",
    "worst_in_time",
    "worst_served",
)


class Job(msgspec.Struct, frozen=True):
    """Describe one run: scenario, seed, changed keys and the folder of another core, if any.

    `size` multiplies the number of upstreams and the request rates.
    """

    scenario: str
    seed: int
    changes: tuple[str, ...] = ()
    core: str = ""
    size: int = 1


class Difference(msgspec.Struct, frozen=True):
    """Hold the mean difference of a figure over all seeds and its standard error."""

    mean: float
    error: float

    @property
    def is_clear(self) -> bool:
        """Return whether the difference exceeds twice its standard error."""
        return abs(self.mean) > 2 * self.error


def run_job(job: Job) -> Figures:
    """Run one job, in a separate process if it needs another core."""
    if job.core:
        return _run_with_core(job)
    loaded = load_scenario(job.scenario, job.changes)
    assert loaded.is_ok(), loaded.error
    return run_scenario(scale_scenario(loaded.ok, job.size), job.seed)


def _run_with_core(job: Job) -> Figures:
    command = [sys.executable, "-m", "bendwind_bench", "emulate", job.scenario]
    command += [f"--seeds={job.seed}..{job.seed}", "--jobs=1", "--json=-", f"--size={job.size}"]
    folders = [job.core, str(Path(__file__).parents[2])]
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(folders)}
    child = subprocess.run(command, env=environment, capture_output=True, text=True)
    if child.returncode != 0:
        raise RuntimeError(f"that revision's core does not run here: {child.stderr.strip()[-400:]}")
    rows = json.loads(child.stdout)
    return msgspec.convert(rows[0]["runs"][0]["figures"], Figures)


def run_jobs(jobs: list[Job], workers: int, on_done) -> list[Figures]:
    """Run jobs in `workers` processes and return figures in order; call `on_done` after each."""
    if workers <= 1:
        return [_run_and_notify(job, on_done) for job in jobs]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = [pool.submit(run_job, job) for job in jobs]
        for future in concurrent.futures.as_completed(futures):
            on_done(jobs[futures.index(future)])
        return [future.result() for future in futures]


def _run_and_notify(job: Job, on_done) -> Figures:
    figures = run_job(job)
    on_done(job)
    return figures


def find_differences(before: list[Figures], after: list[Figures]) -> dict[str, Difference]:
    """Return the differences of the figures, `after` minus `before`, paired by seed."""
    found = {}
    for name in COMPARED_FIGURES:
        pairs = zip(before, after, strict=True)
        deltas = [getattr(new, name) - getattr(old, name) for old, new in pairs]
        spread = statistics.stdev(deltas) if len(deltas) > 1 else math.nan
        found[name] = Difference(statistics.mean(deltas), spread / math.sqrt(len(deltas)))
    return found


def parse_seeds(text: str) -> Result[range, str]:
    """Parse `A..B` or one number.

    Errors: a text that states the expected format.

    >>> list(parse_seeds("3..5").ok)
    [3, 4, 5]
    """
    first, dots, last = text.partition("..")
    if not first.isdecimal() or (dots and not last.isdecimal()):
        return Error(f"--seeds: expected A..B or a number, got {text!r}")
    found = range(int(first), int(last or first) + 1)
    return Ok(found) if found else Error(f"--seeds: expected A <= B, got {text!r}")


def extract_core(revision: str, folder: Path) -> Result[str, str]:
    """Extract the core of a revision into a folder and return the path of its sources.

    Errors: the error message of git.
    """
    root = Path(__file__).parents[5]
    archive = ["git", "-C", str(root), "archive", revision, "packages/bendwind-core/src"]
    archived = subprocess.run(archive, capture_output=True)
    if archived.returncode != 0:
        return Error(f"--against: {archived.stderr.decode().strip()}")
    with tempfile.TemporaryFile() as file:
        file.write(archived.stdout)
        file.seek(0)
        subprocess.run(["tar", "-x", "-C", str(folder)], stdin=file, check=True)
    return Ok(str(folder / "packages/bendwind-core/src"))
