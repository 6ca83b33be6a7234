"""Test that several real nodes respect the rate limit that an upstream announces.

The owner node of the upstream is killed and restarted, and then the upstream announces itself to
another node, while all nodes together receive ten times the limit. This guards against the failure
that a newly started owner does not know the limit and exceeds it.
"""

import contextlib
import unittest

import trio

from bendwind_bench.deployment import ServiceDescription
from bendwind_bench.experiments.phase_runner import describe_small_deployment, run_small_deployment
from bendwind_bench.http import HttpBrokenError, create_pool
from bendwind_bench.load import RequestKind
from bendwind_bench.upstream import Change

INTENT = """
[[services]]
name = "emisor"
upstreams = ["emisor-*"]
longest_wait_ms = 2000

[[services]]
name = "agenda"
upstreams = ["agenda-*"]
longest_wait_ms = 2000
"""
LIMIT_PER_S = 5.0
OFFERED_PER_S = 50.0
# Minimum share of the rate limit that must be served while no fault is in progress.
MIN_SERVED_SHARE = 0.85
SETTLE_S = 4.0
MEASURE_S = 6.0
# On a busy machine, the start of a process and the expiry of leases take longer.
MAX_MEASUREMENTS = 5
KIND = RequestKind("emisor", "/records/1")


class SeveralNodesTest(unittest.TestCase):
    def test_limit_is_respected_and_used_after_restart_and_change_of_owner(self):
        trio.run(self.run_through_owner_changes)

    async def run_through_owner_changes(self):
        services = [ServiceDescription("emisor", 1, 8, 50, 5.0)]
        services.append(ServiceDescription("agenda", 2, 8, 50, 5.0))
        running = run_small_deployment(
            describe_small_deployment(services), INTENT, 1, False, [KIND]
        )
        async with running as deployment, trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(self.send_requests, deployment, number)
            await deployment.change("emisor-1", [Change(rate_limit=LIMIT_PER_S)])
            await trio.sleep(SETTLE_S)
            served = [await self.find_served(deployment)]
            owner = deployment.nodes[deployment.layout.find("emisor-1").name]
            owner.kill()
            owner.start()
            await trio.sleep(2 * SETTLE_S)
            served.append(await self.find_served(deployment))
            other = deployment.layout.members[1]
            address = f"127.0.0.1:{other.upstreams}"
            await deployment.change("emisor-1", [Change(node=address)])
            await trio.sleep(2 * SETTLE_S)
            served.append(await self.find_served(deployment))
            counters = await deployment.read_counters("emisor-1")
            nursery.cancel_scope.cancel()
        self.assertLessEqual(counters["limit_worst"], 1.0)
        for per_second in served:
            self.assertGreaterEqual(per_second, MIN_SERVED_SHARE * LIMIT_PER_S)

    async def send_requests(self, deployment, number):
        """Send requests through one of the nodes, at a third of the total rate."""
        address = deployment.layout.members[number].callers_address
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.call, address)
                await trio.sleep(3 / OFFERED_PER_S)

    async def call(self, address):
        pool = create_pool(address)
        with contextlib.suppress(OSError, HttpBrokenError), trio.move_on_after(5):
            await pool.request(KIND.method, KIND.path, [(b"Bendwind-Service", b"emisor")])
        pool.close()

    async def find_served(self, deployment):
        """Return the rate of the first measurement that is high enough, or of the last one."""
        for _ in range(MAX_MEASUREMENTS):
            per_second = await self.measure(deployment)
            if per_second >= MIN_SERVED_SHARE * LIMIT_PER_S:
                break
        return per_second

    async def measure(self, deployment):
        """Return the number of requests that the upstream runs per second."""
        before, started_at = await deployment.read_counters("emisor-1"), trio.current_time()
        await trio.sleep(MEASURE_S)
        after, span = await deployment.read_counters("emisor-1"), trio.current_time() - started_at
        return (after["runs"] - before["runs"]) / span


if __name__ == "__main__":
    unittest.main()
