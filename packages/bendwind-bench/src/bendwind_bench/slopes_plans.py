"""Measure the cost of plans for a control voter, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_plans`. It runs only pure code in this process.
"""

import dataclasses
import gc
import json
import sys
import tracemalloc
from collections.abc import Callable

from bendwind_bench.slopes_membership.slope import Point, Slope, fit, time_median
from bendwind_core.plans import (
    Changes,
    ConfirmPlan,
    ControlState,
    CreatePlan,
    compute_changes,
    compute_differences,
    encode_command,
    find_warnings,
    parse_intent,
    render_plan,
)
from bendwind_core.world import Configuration, Repeat, Rule, Service

SERVICE_COUNTS = (10, 50, 200, 650)
OUTCOME_COUNTS = (100, 1_000, 3_000, 6_200)
REPEATS = 20
TTL_MS = 900_000


def make_service(index: int, wait_ms: float = 2000.0) -> Service:
    """Make a service with two rules."""
    name = f"service-{index:03d}"
    rules = (
        Rule("/orders", ("POST",), Repeat.NEVER, True, 5000.0),
        Rule("/search", ("POST",)),
    )
    return Service(name, (f"{name}-*",), (f"{name}.example",), rules, wait_ms)


def make_services(count: int) -> tuple[Service, ...]:
    """Make this many services."""
    return tuple(make_service(index) for index in range(count))


def confirm_changes(state: ControlState, changes: Changes, number: int) -> None:
    """Create and confirm a plan."""
    request, version = f"{number:032x}", state.configuration.version
    create = CreatePlan(request, b"d" * 32, version, changes, number, TTL_MS)
    index = state.applied + 1
    state.apply(index, encode_command(create).ok)
    state.apply(index + 1, encode_command(ConfirmPlan(index, number)).ok)


def make_state(services: int, outcomes: int = 1) -> ControlState:
    """Make a state with services and the outcomes of this many confirmed plans."""
    state = ControlState()
    confirm_changes(state, Changes(make_services(services)), 0)
    for number in range(1, outcomes):
        confirm_changes(state, Changes((make_service(0, 1000.0 + number),)), number)
    return state


def repeat(work: Callable[[], object]) -> float:
    """Return the processor time of one run of `work`, in microseconds."""

    def run() -> int:
        for _ in range(REPEATS):
            work()
        return REPEATS

    return time_median(run)


def measure_memory(services: int, outcomes: int = 1) -> float:
    """Return the memory of a restored state, in bytes."""
    snapshot = make_state(services, outcomes).snapshot()
    gc.collect()
    tracemalloc.start()
    state = ControlState()
    state.restore(snapshot)
    byte_count, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(byte_count)


def format_intent(services: tuple[Service, ...]) -> str:
    """Return the TOML text of an intent with these services, as an operator writes it."""
    lines = []
    for service in services:
        lines += ["[[services]]", f'name = "{service.name}"', f'upstreams = ["{service.name}-*"]']
        lines.append(f'hosts = ["{service.hosts[0]}"]')
        lines += ["[[services.rules]]", 'path = "/orders"', 'methods = ["POST"]']
        lines += ['repeat = "never"', "key_required = true", "longest_wait_ms = 5000"]
        lines += ["[[services.rules]]", 'path = "/search"', 'methods = ["POST"]']
    return "\n".join(lines)


def _time_restore(data: bytes) -> float:
    return repeat(lambda: ControlState().restore(data))


def _make_plan(before: Configuration, text: str) -> None:
    changes = compute_changes(before, parse_intent(text, "intent").ok)
    differences = compute_differences(before, changes)
    render_plan(differences, find_warnings(before, changes, differences, ()))


def _confirm_one_change(state: ControlState) -> None:
    number = state.applied
    confirm_changes(state, Changes((make_service(0, 1000.0 + number % 7),)), number)


def _measure(sizes: tuple[int, ...], unit: str, per: str, work: Callable[[int], float]) -> Slope:
    return fit(unit, per, [Point(size, work(size)) for size in sizes])


def measure_services() -> dict[str, Slope]:
    """Measure the costs that grow with the number of services."""
    states = {count: make_state(count) for count in SERVICE_COUNTS}
    texts = {count: format_intent(make_services(count)) for count in SERVICE_COUNTS}
    changed = {n: text.replace("= 5000", "= 4000", 1) for n, text in texts.items()}
    empty = Configuration(0)
    works = {
        "snapshot_bytes": ("byte", lambda n: float(len(states[n].snapshot()))),
        "snapshot_time": ("us", lambda n: repeat(states[n].snapshot)),
        "restore_time": ("us", lambda n: _time_restore(states[n].snapshot())),
        "state_memory": ("byte", measure_memory),
        "first_plan_time": ("us", lambda n: repeat(lambda: _make_plan(empty, texts[n]))),
        "plan_of_one_change_time": (
            "us",
            lambda n: repeat(lambda: _make_plan(states[n].configuration, changed[n])),
        ),
        "confirmation_time": ("us", lambda n: repeat(lambda: _confirm_one_change(states[n]))),
    }
    return {
        name: _measure(SERVICE_COUNTS, unit, "service", work)
        for name, (unit, work) in works.items()
    }


def measure_outcomes() -> dict[str, Slope]:
    """Measure the costs that grow with the number of stored outcomes."""
    states = {count: make_state(10, count) for count in OUTCOME_COUNTS}
    works = {
        "outcome_snapshot_bytes": ("byte", lambda n: float(len(states[n].snapshot()))),
        "outcome_snapshot_time": ("us", lambda n: repeat(states[n].snapshot)),
        "outcome_memory": ("byte", lambda n: measure_memory(10, n)),
    }
    return {
        name: _measure(OUTCOME_COUNTS, unit, "outcome", work)
        for name, (unit, work) in works.items()
    }


def measure_commands() -> dict[str, int]:
    """Return the sizes of the commands for a change of one service, in bytes."""
    change = Changes((make_service(0),))
    create = CreatePlan("0" * 32, b"d" * 32, 10_000, change, 1_790_000_000_000, TTL_MS)
    return {
        "create_one_service": len(encode_command(create).ok),
        "confirm": len(encode_command(ConfirmPlan(10_000, 1_790_000_000_000)).ok),
    }


def main() -> None:
    """Run all measurements and print them as JSON."""
    slopes = measure_services() | measure_outcomes()
    result = {
        "slopes": {name: dataclasses.asdict(slope) for name, slope in slopes.items()},
        "bytes": measure_commands(),
    }
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
