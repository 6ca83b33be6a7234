"""Measure what it costs to keep runs of upstreams in the control log, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_runs`. It runs only the pure code and the codec in this
process; links, system calls, disks and the replication of commands are not included.
"""

import dataclasses
import gc
import json
import sys
import tracemalloc

from bendwind_bench.slopes_membership.slope import Point, decode, encode, fit, time_median
from bendwind_core.plans import ControlState, RecordRuns, encode_command
from bendwind_core.runs import (
    ForwardRuns,
    ReportRuns,
    RunRecord,
    RunsAnswer,
    RunsRecorded,
    create_run_keeper,
    handle_recorded,
    handle_runs,
    list_runs,
    report_run,
    send_due,
)
from bendwind_core.world import UpstreamState

INSTANCES = (1_000, 5_000, 15_000)
BATCHES = (1, 10, 100)
ROUNDS = 200
# An incarnation is the time at which a process starts, in milliseconds since 1970.
INCARNATION = 1_764_685_000_123
# Departures that are kept at one time, if each of 6,200 changes of a day was one.
GONE_AT_ONCE = 6_200 * 10 // (24 * 60)


def make_run(number: int, state: UpstreamState = UpstreamState.READY) -> RunRecord:
    """Make a run with names of the usual length, one for each instance."""
    return RunRecord(
        f"10.{number // 250}.{number % 250}.7", f"i-{number:010x}", "s" * 10, 0, 1, state
    )


def make_state(instances: int) -> ControlState:
    """Make the state of a log that keeps one run of each instance."""
    state = ControlState()
    records = tuple(make_run(number) for number in range(instances))
    state.apply(1, encode_command(RecordRuns(INCARNATION, records)).ok)
    return state


def measure_departure_at_voter(instances: int) -> dict:
    """Measure departures at a voter that leads, as messages, one command and its application."""
    state = make_state(instances)
    points = []
    for size in BATCHES:
        gone = tuple(make_run(number, UpstreamState.GONE) for number in range(size))
        reports = [encode(ReportRuns(INCARNATION << 20, (record,))) for record in gone]

        def work(reports=reports) -> int:
            for _ in range(ROUNDS // len(reports) + 1):
                records = tuple(record for data in reports for record in decode(data).records)
                command = encode_command(RecordRuns(INCARNATION, records)).ok
                state.apply(state.applied + 1, command)
                for _ in records:
                    encode(RunsRecorded(INCARNATION << 20))
            return ROUNDS // len(reports) + 1

        points.append(Point(size, time_median(work)))
    return dataclasses.asdict(fit("us", "departure", points))


def measure_departure_at_node() -> float:
    """Measure a departure at the node that acknowledges it. Units: microseconds."""

    def work() -> int:
        keeper = create_run_keeper("10.0.0.7", INCARNATION, is_loaded=True)
        for number in range(ROUNDS):
            report_run(keeper, f"i-{number:010x}", UpstreamState.GONE)
            for sent in send_due(keeper, 0.0):
                encode(sent.message)
                handle_recorded(keeper, decode(encode(RunsRecorded(sent.message.number))))
        return ROUNDS

    return time_median(work)


def measure_start(instances: int) -> float:
    """Measure the query of a node that starts, at the voter and the node. Units: microseconds."""
    state = make_state(instances)
    name = make_run(7).instance

    def work() -> int:
        for _ in range(ROUNDS):
            keeper = create_run_keeper(name, INCARNATION, is_loaded=False)
            (sent,) = send_due(keeper, 0.0)
            query = decode(encode(sent.message))
            answer = RunsAnswer(query.number, list_runs(state.runs, name))
            handle_runs(keeper, decode(encode(answer)))
        return ROUNDS

    return time_median(work)


def measure_table() -> dict:
    """Measure the memory and the snapshot of the table by the number of instances."""
    memory, snapshot, times = [], [], []
    for size in INSTANCES:
        gc.collect()
        tracemalloc.start()
        state = make_state(size)
        gc.collect()
        memory.append(Point(size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        snapshot.append(Point(size, len(state.snapshot())))

        def work(state=state) -> int:
            state.snapshot()
            return 1

        times.append(Point(size, time_median(work)))
    return {
        "memory": dataclasses.asdict(fit("bytes", "run", memory)),
        "snapshot": dataclasses.asdict(fit("bytes", "run", snapshot)),
        "snapshot_us": dataclasses.asdict(fit("us", "run", times)),
    }


def measure_bytes() -> dict[str, int]:
    """Measure the size of each message, alone in a frame and with one run, and of the command."""
    record = make_run(7, UpstreamState.GONE)
    number = INCARNATION << 20
    messages = (
        ReportRuns(number, (record,)),
        RunsRecorded(number),
        ForwardRuns(number, (record,)),
        RunsAnswer(number, (record,)),
    )
    sizes = {type(message).__name__: len(encode(message)) for message in messages}
    return sizes | {"command": len(encode_command(RecordRuns(INCARNATION, (record,))).ok)}


def main() -> None:
    """Run all measurements and print them as JSON."""
    result = {
        "departure_at_voter_us": measure_departure_at_voter(INSTANCES[-1]),
        "departure_at_node_us": measure_departure_at_node(),
        "start_us": measure_start(INSTANCES[-1]),
        "table": measure_table(),
        "gone_at_once": GONE_AT_ONCE,
        "bytes": measure_bytes(),
    }
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
