"""Run the `soak` command: run seeds one after another and print a verdict on each."""

import sys
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from bendwind_bench.deployment import RUN_FOLDER, NotReadyError
from bendwind_bench.emulator.compare import parse_seeds
from bendwind_bench.operators import IntentRefusedError
from bendwind_bench.reports import format_table
from bendwind_bench.soak.checks import check_record, count_outcomes, count_reasons
from bendwind_bench.soak.run import run_soak
from bendwind_bench.soak.schedule import SoakSchedule
from bendwind_bench.soak.shrink import count_items, shrink
from bendwind_core.core import Seconds

USAGE = 2
FAILED = 1
# Three voters, and one more node that is none.
MIN_NODES = 4
MIN_SECONDS = 5.0
MAX_REASONS = 12
SECONDS_PER_MINUTE = 60.0
OUTCOMES = ("whole", "failed", "not-run", "unknown", "refused", "broken")


@dataclass(frozen=True, slots=True)
class SeedVerdict:
    """Hold the broken promises of one seed, what its callers got and what was planned."""

    seed: int
    broken: list[str]
    outcomes: dict[str, int]
    schedule: SoakSchedule | None = None


def soak(seeds: str, minutes: float, processes: int, shrink_runs: int = 0) -> int:
    """Run each seed for `minutes` on half as many nodes as processes; return the exit code.

    A seed that fails is run up to `shrink_runs` times with fewer faults.
    """
    parsed = parse_seeds(seeds)
    seconds = minutes * SECONDS_PER_MINUTE
    nodes = processes // 2
    if parsed.is_error():
        return _print_usage_error(parsed.error)
    if nodes < MIN_NODES or seconds < MIN_SECONDS:
        return _print_usage_error(f"expected {2 * MIN_NODES} processes and {MIN_SECONDS:.0f} s")
    verdicts = [_run_seed(seed, nodes, seconds) for seed in parsed.ok]
    for verdict in verdicts:
        if shrink_runs and verdict.broken and verdict.schedule is not None:
            _shrink_seed(verdict, nodes, shrink_runs)
    print(_format_verdicts(verdicts))
    broken = [verdict.seed for verdict in verdicts if verdict.broken]
    print(f"soak: broken by seeds {broken}" if broken else "soak: ok")
    return FAILED if broken else 0


def replay(file: Path, processes: int) -> int:
    """Run a schedule that was written down, on half as many nodes as processes."""
    schedule = msgspec.json.decode(file.read_bytes(), type=SoakSchedule)
    verdict = _run_seed(schedule.seed, processes // 2, schedule.seconds, schedule)
    return FAILED if verdict.broken else 0


def _shrink_seed(verdict: SeedVerdict, nodes: int, max_runs: int) -> None:
    def has_failed(schedule: SoakSchedule) -> bool:
        print(f"seed {verdict.seed}: with {count_items(schedule)} faults and changes")
        return bool(_run_seed(verdict.seed, nodes, schedule.seconds, schedule).broken)

    smallest = shrink(verdict.schedule, has_failed, max_runs)
    file = RUN_FOLDER / f"soak-{verdict.seed}.json"
    file.write_bytes(msgspec.json.format(msgspec.json.encode(smallest)))
    print(f"seed {verdict.seed}: still fails with {count_items(smallest)}, see {file}")


def _run_seed(
    seed: int, nodes: int, seconds: Seconds, planned: SoakSchedule | None = None
) -> SeedVerdict:
    began_at = time.monotonic()
    not_ready: list[str] = []

    def report(text: str) -> None:
        print(f"seed {seed}: {text}", flush=True)

    try:
        schedule, record = trio.run(run_soak, seed, nodes, seconds, report, planned)
    except* (NotReadyError, IntentRefusedError) as errors:
        not_ready = [f"not ready: {error}" for error in errors.exceptions]
    if not_ready:
        for line in not_ready:
            report(f"broken: {line}")
        return SeedVerdict(seed, not_ready, {})
    broken = check_record(record)
    for reason, count in count_reasons(record).most_common(MAX_REASONS):
        report(f"{count:5} {reason}")
    for line in broken:
        report(f"broken: {line}")
    report(f"{'broken' if broken else 'ok'} after {time.monotonic() - began_at:.0f} s")
    return SeedVerdict(seed, broken, count_outcomes(record), schedule)


def _format_verdicts(verdicts: list[SeedVerdict]) -> str:
    rows = [
        [
            str(verdict.seed),
            "broken" if verdict.broken else "ok",
            str(count_items(verdict.schedule) if verdict.schedule else 0),
            *(str(verdict.outcomes.get(name, 0)) for name in OUTCOMES),
        ]
        for verdict in verdicts
    ]
    return format_table(["seed", "verdict", "faults", *OUTCOMES], rows)


def _print_usage_error(text: str) -> int:
    print(f"soak: {text}", file=sys.stderr)
    return USAGE
