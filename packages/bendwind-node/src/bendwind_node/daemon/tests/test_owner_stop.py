"""Hand attempts to an owner whose process stops.

Guards against starting an attempt that cannot end while the process runs: its upstream works for
nothing, and its caller, at an entry node elsewhere, cannot send it again.
"""

import unittest

import trio
import trio.testing

from bendwind_core.attempts.owner_events import Tick
from bendwind_node.calls.tests.fakes import CallTestCluster, announce, make_exchange
from bendwind_node.calls.tests.scripted_server import read_request, run_server
from bendwind_node.daemon.run import _stop
from bendwind_node.daemon.tests.test_planned_stop import make_daemon

NOTICE_MS = 300
DRAIN_MS = 500
WORK_S = 0.9


class SlowUpstream:
    """Answer each request after the same time, and count those of callers."""

    def __init__(self):
        self.received = 0

    async def serve(self, stream, number):
        while head := await read_request(stream):
            self.received += head.startswith(b"POST ")
            await trio.sleep(WORK_S)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


class OwnerStopTest(unittest.TestCase):
    def run_check(self, check):
        async def main():
            upstream = SlowUpstream()
            with trio.fail_after(20):
                async with run_server(upstream.serve) as port, trio.open_nursery() as nursery:
                    bench = CallTestCluster(nursery)
                    owner = bench.add_owner("o-0")
                    announce(owner, port, name="svc-0")
                    # The owner learns how long requests take.
                    self.assertEqual((await self.call(bench)).status, 200)
                    await check(bench, owner, upstream)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def call(self, bench, **headers):
        return await bench.call(make_exchange(b"POST", b"body", **headers))

    async def stop(self, bench, owner):
        """Stop the process of the owner as planned, and end it."""
        daemon = make_daemon(owner.register, notice_ms=NOTICE_MS, is_idle=owner.is_idle)
        daemon.settings.stop = type(daemon.settings.stop)(
            notice_ms=NOTICE_MS, claims_ms=0, drain_ms=DRAIN_MS
        )
        daemon.dispatcher.owner = owner
        await _stop(daemon)
        bench.hub.cut(owner.own.name)

    def test_attempt_that_would_outlast_its_owner_is_refused(self):
        async def check(bench, owner, upstream):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.stop, bench, owner)
                await trio.testing.wait_all_tasks_blocked()
                exchange = await self.call(bench)
            self.assertEqual((exchange.status, upstream.received), (503, 1))

        self.run_check(check)

    def test_queued_attempt_that_would_outlast_its_owner_is_refused(self):
        async def check(bench, owner, upstream):
            owned = owner.register.owned["svc-0"]
            owned.owner_state.connections = 0
            async with trio.open_nursery() as nursery:
                exchanges = []

                async def call():
                    exchanges.append(await self.call(bench))

                nursery.start_soon(call)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(self.stop, bench, owner)
                await trio.testing.wait_all_tasks_blocked()
                owned.owner_state.connections = 4
                owner.register.feed(owned, Tick())
            self.assertEqual((exchanges[0].status, upstream.received), (503, 1))

        self.run_check(check)

    def test_attempt_whose_time_ends_before_its_owner_is_started(self):
        async def check(bench, owner, upstream):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.stop, bench, owner)
                await trio.testing.wait_all_tasks_blocked()
                await self.call(bench, bendwind_timeout_ms="300")
            self.assertEqual(upstream.received, 2)

        self.run_check(check)

    def test_attempt_that_runs_when_its_owner_is_told_to_stop_is_answered(self):
        async def check(bench, owner, upstream):
            async with trio.open_nursery() as nursery:
                exchanges = []

                async def call():
                    exchanges.append(await self.call(bench))

                nursery.start_soon(call)
                while upstream.received < 2:
                    await trio.sleep(0.01)
                await trio.sleep(WORK_S / 2)
                nursery.start_soon(self.stop, bench, owner)
            self.assertEqual(exchanges[0].status, 200)

        self.run_check(check)


if __name__ == "__main__":
    unittest.main()
