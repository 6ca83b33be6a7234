"""Run the `emulate` command: run scenarios, compare them and print the figures."""

import sys
import tempfile
import time
from pathlib import Path

from expression import Ok

from bendwind_bench.emulator.compare import (
    Job,
    extract_core,
    find_differences,
    parse_seeds,
    run_jobs,
)
from bendwind_bench.emulator.report import (
    ScenarioReport,
    Side,
    render,
    render_capacity,
    render_groups,
    render_windows,
    to_json,
    write_plot,
)
from bendwind_bench.emulator.scenario import list_scenarios, load_scenario

USAGE = 2
FAILED = 1


def emulate(
    scenarios: tuple[str, ...],
    against: str = "",
    seeds: str = "1..5",
    jobs: int = 2,
    plot: str = "",
    json: str = "",
    size: int = 1,
) -> int:
    """Run scenarios, all shipped ones if none is named, and return the exit code."""
    names = scenarios or list_scenarios()
    parsed_seeds = parse_seeds(seeds)
    if parsed_seeds.is_error():
        return _print_usage_error(parsed_seeds.error)
    if not isinstance(size, int) or size < 1 or not isinstance(jobs, int) or jobs < 1:
        return _print_usage_error("--size and --jobs: expected whole numbers from 1")
    is_setting = "=" in against
    changes = tuple(against.split()) if is_setting else ()
    for name in names:
        loaded = load_scenario(name, changes)
        if loaded.is_error():
            return _print_usage_error(str(loaded.error))
    with tempfile.TemporaryDirectory() as folder:
        core = Ok("") if is_setting or not against else extract_core(against, Path(folder))
        if core.is_error():
            return _print_usage_error(core.error)
        sides = [("", (), "")]
        if against:
            sides.insert(0, (against, changes, core.ok))
        try:
            reports = [
                _run_scenario(name, sides, tuple(parsed_seeds.ok), jobs, size) for name in names
            ]
        except RuntimeError as error:
            print(error, file=sys.stderr)
            return FAILED
    _print_reports(reports, plot, json)
    return 0


def _run_scenario(
    name: str,
    sides: list[tuple[str, tuple[str, ...], str]],
    seeds: tuple[int, ...],
    jobs: int,
    size: int,
) -> ScenarioReport:
    began_at = time.monotonic()
    jobs_to_run = [
        Job(name, seed, changes, core, size) for _, changes, core in sides for seed in seeds
    ]
    runs_left = len(jobs_to_run)

    def show_progress(job: Job) -> None:
        nonlocal runs_left
        runs_left -= 1
        print(f"\r{name}: {runs_left} runs left ", end="", file=sys.stderr, flush=True)

    figures = run_jobs(jobs_to_run, jobs, show_progress)
    print(f"\r{name}: {time.monotonic() - began_at:.1f} s     ", file=sys.stderr)
    figures_by_side = [figures[i : i + len(seeds)] for i in range(0, len(figures), len(seeds))]
    report_sides = tuple(
        Side(label, seeds, tuple(runs))
        for (label, _, _), runs in zip(sides, figures_by_side, strict=True)
    )
    differences = find_differences(*figures_by_side) if len(figures_by_side) > 1 else {}
    return ScenarioReport(name, report_sides, differences)


def _print_reports(reports: list[ScenarioReport], plot: str, json: str) -> None:
    if json == "-":
        sys.stdout.write(to_json(reports).decode())
        return
    print(render(reports))
    print("\nwaited: share of calls that waited over 20 ms at an owner while another was free")
    print(render_capacity(reports))
    print("\nby route and rank")
    print(render_groups(reports))
    print("\nin time by window of two seconds")
    print(render_windows(reports))
    if json:
        Path(json).write_bytes(to_json(reports))
    if plot:
        write_plot(reports, Path(plot))


def _print_usage_error(text: str) -> int:
    print(f"emulate: {text}", file=sys.stderr)
    return USAGE
