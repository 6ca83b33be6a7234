"""Check what callers were told against what the stand-ins ran."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from bendwind_bench.load.sample import Outcome, Sample
from bendwind_bench.upstream.stand_in import UNNAMED

Runs = collections.Counter


@dataclass(slots=True)
class Verdict:
    """List the broken promises, each as one line.

    `misleading` counts resends that were told not-run though an earlier send had run.
    """

    broken: list[str] = field(default_factory=list)
    doubled: collections.Counter = field(default_factory=collections.Counter)
    misleading: int = 0

    @property
    def is_ok(self) -> bool:
        """Tell whether every promise held."""
        return not self.broken


def read_runs(files: Iterable[Path]) -> Runs:
    """Count the runs of each (request, send number) from the stand-ins' files."""
    runs = Runs()
    for file in files:
        if not file.exists():
            continue
        for line in file.read_text().splitlines():
            request, number = line.split()
            if request != UNNAMED:
                runs[request, int(number)] += 1
    return runs


def check_promises(samples: list[Sample], runs: Runs) -> Verdict:
    """Check that not-run requests never ran, marked ones ran once at most, answers were own."""
    verdict = Verdict()
    totals = Runs()
    for (request, _), count in runs.items():
        totals[request] += count
    marked = {sample.request: sample.service for sample in samples if sample.marked}
    for request, service in marked.items():
        if totals[request] > 1:
            verdict.doubled[service] += 1
            verdict.broken.append(f"{request} of {service} ran {totals[request]} times")
    for sample in samples:
        _check_sample(sample, runs, totals, verdict)
    return verdict


def _check_sample(sample: Sample, runs: Runs, totals: Runs, verdict: Verdict) -> None:
    name = f"{sample.request}/{sample.number} of {sample.service}"
    own_runs = runs[sample.request, sample.number]
    if sample.outcome is Outcome.BROKEN:
        verdict.broken.append(f"{name} got {sample.reason}")
    if sample.outcome is Outcome.NOT_RUN and own_runs:
        verdict.broken.append(f"{name} was told not-run ({sample.reason}) but ran {own_runs} times")
    if sample.outcome is Outcome.NOT_RUN and totals[sample.request] > own_runs:
        verdict.misleading += 1
    if sample.outcome is Outcome.WHOLE and not totals[sample.request]:
        verdict.broken.append(f"{name} got an answer though no upstream ran it")
