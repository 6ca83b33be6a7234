"""Walk each state in which a node holds a request, and all that can come over it there.

A whole request that was read got neither an answer nor a refusal: its connection was closed. What
ended it were the end of a stop's time and a fault of this program, in states that no test had
held a request in. So each pair of a state and an event is gone through here, on real sockets
of callers and upstreams, and has one outcome.
"""

import contextlib
import re
import unittest
from unittest import mock

import trio

from bendwind_node.calls import call_intake
from bendwind_node.calls.request_account import Ending
from bendwind_node.calls.tests.scripted_server import run_server
from bendwind_node.calls.tests.ways_out import PAIRS, Event, Held, Seen
from bendwind_node.calls.tests.ways_out_parts import Upstream
from bendwind_node.calls.tests.ways_out_scene import Scene

LONGEST_WAIT_S = 20.0
ENDINGS = {Seen.LEFT: Ending.LEFT, Seen.CUT: Ending.CUT}
STATED = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def cut_answer(data):
    """Return the head and the body of the first answer, whether it is whole, and what follows."""
    head, end, rest = data.partition(b"\r\n\r\n")
    length = int(STATED.search(head)[1]) if end else 0
    return head, rest[:length], bool(end) and len(rest) >= length, rest[length:]


def find_seen(data, event):
    """Return what a caller saw that got these bytes until its connection was closed."""
    head, _, is_whole, _ = cut_answer(data)
    if event in (Event.LEAVES, Event.HALF_CLOSE) and not is_whole:
        return Seen.LEFT
    if not head:
        return Seen.NOTHING
    if not is_whole:
        return Seen.CUT
    outcome = re.search(rb"bendwind-outcome: (\S+)", head, re.IGNORECASE)
    return {
        (b"200", b""): Seen.ANSWERED,
        (b"503", b"not-run"): Seen.NOT_RUN,
        (b"502", b"unknown"): Seen.UNKNOWN,
    }.get((head.split()[1], outcome[1] if outcome else b""), head)


def find_ending(pair):
    """Return how the node that held the request counts its end."""
    if (pair.held, pair.event) == (Held.CLAIMING, Event.LEAVES):
        # It ran under its claim, and its answer was written before the close was noticed.
        return Ending.ANSWERED
    if pair.seen is Seen.CUT and pair.event in (Event.FAULT, Event.GRACE_ENDS):
        # Its upstream did not break the answer off.
        return Ending.UNANSWERED
    return ENDINGS.get(pair.seen, Ending.ANSWERED)


async def read_answer(stream, data, *, is_last):
    """Read on to the end of the first answer, or to the end of the connection."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while part := await stream.receive_some(65536):
            data += part
            if not is_last and cut_answer(data)[2]:
                break
    return bytes(data)


class WaysOutTest(unittest.TestCase):
    def walk(self, pair):
        async def main():
            upstream = Upstream(pair.held)
            with (
                trio.fail_after(LONGEST_WAIT_S),
                mock.patch.object(call_intake, "ROUTED_SERVICE_WAIT", LONGEST_WAIT_S),
            ):
                async with run_server(upstream.serve) as port, trio.open_nursery() as nursery:
                    scene = Scene(nursery, pair.held, upstream, has_fault=pair.event is Event.FAULT)
                    await scene.start(nursery, port)
                    data = await self.meet(scene, pair)
                    while scene.account.in_flight:
                        await trio.sleep(0.001)
                    self.check(scene, pair, data)
                    await scene.stream.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def meet(self, scene, pair):
        await scene.hold()
        data = bytearray()
        if pair.held is Held.ANSWERING:
            # Its caller has begun to read and rests.
            data += await scene.stream.receive_some(1000)
        await scene.come_over(pair.event)
        is_last = pair.event in (Event.HALF_CLOSE, Event.NEXT_IN_AT_STOP, Event.GRACE_ENDS)
        return await read_answer(scene.stream, data, is_last=is_last)

    def check(self, scene, pair, data):
        self.assertEqual(find_seen(data, pair.event), pair.seen)
        if pair.event is Event.NEXT_IN_AT_STOP:
            self.check_next(data)
        account, bench = scene.account, scene.bench
        ending = find_ending(pair)
        unanswered = 1 if ending is Ending.UNANSWERED else 0
        self.assertEqual(account.ended[Ending.UNANSWERED], unanswered, account.describe())
        self.assertEqual(account.in_flight, 0)
        self.assertGreaterEqual(account.ended[ending], 1)
        held = (bench.entry.runs, bench.intake.in_flight, bench.intake.budget.used)
        self.assertEqual(held, ({}, 0, 0))

    def check_next(self, data):
        """The next request has an answer, or the one before it said that none would be read."""
        head, _, _, rest = cut_answer(data)
        is_told = b"connection: close" in head.lower()
        self.assertTrue(is_told or cut_answer(rest)[2], head)
        self.assertFalse(is_told and rest)

    def test_each_request_has_its_one_outcome(self):
        self.assertEqual(len(PAIRS), len(Held) * len(Event))
        for pair in PAIRS:
            with self.subTest(held=pair.held.name, event=pair.event.name):
                self.walk(pair)


if __name__ == "__main__":
    unittest.main()
