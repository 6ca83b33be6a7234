"""Run the `emulate` command: run scenarios, compare them and print the figures."""

import sys
import tempfile
import time
from pathlib import Path

from expression import Ok

from bendwind_bench.emulator.compare import (
    Job,
    check_out,
    find_differences,
    parse_seeds,
    run_all,
)
from bendwind_bench.emulator.report import (
    ScenarioReport,
    Side,
    render,
    render_kinds,
    render_room,
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
    wanted = parse_seeds(seeds)
    if wanted.is_error():
        return _refuse(wanted.error)
    if not isinstance(size, int) or size < 1 or not isinstance(jobs, int) or jobs < 1:
        return _refuse("--size and --jobs: expected whole numbers from 1")
    is_setting = "=" in against
    changes = tuple(against.split()) if is_setting else ()
    for name in names:
        loaded = load_scenario(name, changes)
        if loaded.is_error():
            return _refuse(str(loaded.error))
    with tempfile.TemporaryDirectory() as folder:
        core = Ok("") if is_setting or not against else check_out(against, Path(folder))
        if core.is_error():
            return _refuse(core.error)
        sides = [("", (), "")]
        if against:
            sides.insert(0, (against, changes, core.ok))
        try:
            reports = [_run_one(name, sides, tuple(wanted.ok), jobs, size) for name in names]
        except RuntimeError as error:
            print(error, file=sys.stderr)
            return FAILED
    _show(reports, plot, json)
    return 0


def _run_one(
    name: str,
    sides: list[tuple[str, tuple[str, ...], str]],
    seeds: tuple[int, ...],
    jobs: int,
    size: int,
) -> ScenarioReport:
    began_at = time.monotonic()
    planned = [Job(name, seed, changes, core, size) for _, changes, core in sides for seed in seeds]
    left = len(planned)

    def note(job: Job) -> None:
        nonlocal left
        left -= 1
        print(f"\r{name}: {left} runs left ", end="", file=sys.stderr, flush=True)

    figures = run_all(planned, jobs, note)
    print(f"\r{name}: {time.monotonic() - began_at:.1f} s     ", file=sys.stderr)
    parts = [figures[i : i + len(seeds)] for i in range(0, len(figures), len(seeds))]
    shown = tuple(
        Side(label, seeds, tuple(runs)) for (label, _, _), runs in zip(sides, parts, strict=True)
    )
    differences = find_differences(*parts) if len(parts) > 1 else {}
    return ScenarioReport(name, shown, differences)


def _show(reports: list[ScenarioReport], plot: str, json: str) -> None:
    if json == "-":
        sys.stdout.write(to_json(reports).decode())
        return
    print(render(reports))
    print("\nwaited: share of calls that waited over 20 ms at an owner while another was free")
    print(render_room(reports))
    print("\nby route and rank")
    print(render_kinds(reports))
    print("\nin time by window of two seconds")
    print(render_windows(reports))
    if json:
        Path(json).write_bytes(to_json(reports))
    if plot:
        write_plot(reports, Path(plot))


def _refuse(text: str) -> int:
    print(f"emulate: {text}", file=sys.stderr)
    return USAGE
