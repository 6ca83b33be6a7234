"""Check the outcomes that callers received against the runs of the stand-ins."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from bendwind_bench.load.sample import Outcome, Sample
from bendwind_bench.upstream.stand_in import MISSING_ID

RunCounts = collections.Counter


@dataclass(slots=True)
class GuaranteeReport:
    """Hold the violated guarantees, each as one line.

    `doubled` counts by service the marked requests that ran more than once. `misleading_not_run`
    counts sends that were answered not-run although another send of the request ran.
    """

    violations: list[str] = field(default_factory=list)
    doubled: collections.Counter = field(default_factory=collections.Counter)
    misleading_not_run: int = 0

    @property
    def is_ok(self) -> bool:
        """Return whether no guarantee was violated."""
        return not self.violations


def read_runs(files: Iterable[Path]) -> RunCounts:
    """Count the runs of each (request, send number) from the stand-ins' files."""
    runs = RunCounts()
    for file in files:
        if not file.exists():
            continue
        for line in file.read_text().splitlines():
            request, number = line.split()
            if request != MISSING_ID:
                runs[request, int(number)] += 1
    return runs


def check_guarantees(samples: list[Sample], runs: RunCounts) -> GuaranteeReport:
    """Check the guarantees given to callers.

    A send answered not-run never ran, a marked request ran once at most, and every answer was the
    request's own and came from a run.
    """
    guarantees = GuaranteeReport()
    totals = RunCounts()
    for (request, _), count in runs.items():
        totals[request] += count
    marked = {sample.request: sample.service for sample in samples if sample.marked}
    for request, service in marked.items():
        if totals[request] > 1:
            guarantees.doubled[service] += 1
            guarantees.violations.append(f"{request} of {service} ran {totals[request]} times")
    for sample in samples:
        _check_sample(sample, runs, totals, guarantees)
    return guarantees


def _check_sample(
    sample: Sample, runs: RunCounts, totals: RunCounts, guarantees: GuaranteeReport
) -> None:
    name = f"{sample.request}/{sample.number} of {sample.service}"
    own_runs = runs[sample.request, sample.number]
    if sample.outcome is Outcome.BROKEN:
        guarantees.violations.append(f"{name} got {sample.reason}")
    if sample.outcome is Outcome.NOT_RUN and own_runs:
        guarantees.violations.append(
            f"{name} was answered not-run ({sample.reason}) but ran {own_runs} times"
        )
    if sample.outcome is Outcome.NOT_RUN and totals[sample.request] > own_runs:
        guarantees.misleading_not_run += 1
    if sample.outcome is Outcome.WHOLE and not totals[sample.request]:
        guarantees.violations.append(f"{name} got an answer although no upstream ran it")
