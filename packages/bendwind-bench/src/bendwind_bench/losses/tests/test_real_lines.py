"""Test the account of calls with the lines that real entry and owner nodes log."""

import time
import unittest

import msgspec
import trio

from bendwind_bench.losses import Fate, Logs, list_rows, read_logs
from bendwind_bench.losses.exactness import compare_with_owners
from bendwind_bench.losses.read import list_owner_lines
from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.timeline import LogLine
from bendwind_core.timeline.clock import HybridClock
from bendwind_core.world import Repeat, Rule, Service
from bendwind_node.calls.tests.fakes import CallTestCluster, announce, make_exchange
from bendwind_node.calls.tests.scripted_server import OK, read_request, run_server

# The upstream serves two requests at a time, so that half of the calls wait.
CALLS = 4
WORK_S = 0.02


def read_wall_ms() -> int:
    return int(time.time() * MILLISECONDS_PER_SECOND)


def to_line(event) -> str:
    """Return the log line of an event."""
    line = LogLine(
        "info",
        event.instance,
        event.physical_ms,
        event.kind.name,
        int(event.kind),
        call=event.call,
        upstream=event.upstream,
        detail=event.detail,
        request=event.request,
        facts=event.facts,
    )
    return msgspec.json.encode(line).decode()


async def work(stream, _):
    while await read_request(stream):
        await trio.sleep(WORK_S)
        await stream.send_all(OK)


async def run_calls() -> Logs:
    rule = Rule("*", repeat=Repeat.NEVER, target_latency_ms=90_000.0, priority=2, name="r")
    service = Service("svc", ("*",), rules=(rule,), longest_wait_ms=90_000.0)
    with trio.fail_after(20):
        async with run_server(work) as port, trio.open_nursery() as nursery:
            cluster = CallTestCluster(nursery, service)
            cluster.owner.recorder.clock = HybridClock(read_wall_ms)
            announce(cluster.owner, port)
            async with trio.open_nursery() as callers:
                for _ in range(CALLS):
                    callers.start_soon(cluster.call, make_exchange())
            nursery.cancel_scope.cancel()
    return read_logs(to_line(event) for event in cluster.owner.recorder.events)


class RealLinesTest(unittest.TestCase):
    def setUp(self):
        self.logs = trio.run(run_calls)
        self.rows = list_rows(self.logs)

    def test_each_call_is_matched_with_its_own_line_without_request_ids(self):
        self.assertEqual([row.fate for row in self.rows], [Fate.IN_TIME] * CALLS)
        found = [list_owner_lines(row.call, self.logs) for row in self.rows]
        self.assertEqual([len(lines) for lines in found], [1] * CALLS)
        self.assertEqual(len({lines[0].call for lines in found}), CALLS)
        for row, (line,) in zip(self.rows, found, strict=True):
            self.assertEqual(row.stages.waiting, line.facts.waited_ms)
            self.assertLessEqual(row.stages.running, line.facts.ms)

    def test_stages_add_up_to_the_time_of_the_call(self):
        for row in self.rows:
            stages = msgspec.structs.asdict(row.stages)
            # Each stage is rounded to a tenth of a millisecond.
            self.assertAlmostEqual(sum(stages.values()), row.call.facts.ms, delta=0.5)

    def test_rank_of_call_is_rank_of_its_rule(self):
        self.assertEqual({row.call.facts.rank for row in self.rows}, {2})

    def test_every_start_is_compared_with_the_owner(self):
        found = compare_with_owners(self.logs)
        self.assertEqual(found.starts, CALLS)


if __name__ == "__main__":
    unittest.main()
