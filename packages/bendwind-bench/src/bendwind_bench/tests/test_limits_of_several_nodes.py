"""Call an upstream that reports a rate limit through several real nodes.

The owner node of the upstream is killed and restarted, and the upstream's announcements move to
another node, while all nodes together offer ten times the limit. The test guards against an owner
that does not know the limit after its start.
"""

import contextlib
import unittest

import trio

from bendwind_bench.deployment import ServiceDescription
from bendwind_bench.experiments.scene import describe_scene, run_scene
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
# Minimum share of the limit that callers must be able to use while there are no faults.
MIN_SERVED_SHARE = 0.85
SETTLE_S = 4.0
MEASURE_S = 6.0
# On a busy machine a process takes longer to start and leases take longer to expire, so the rate
# is measured up to this many times.
MAX_MEASUREMENTS = 5
KIND = RequestKind("emisor", "/records/1")


class SeveralNodesTest(unittest.TestCase):
    def test_rate_limit_is_enforced_and_used_across_owner_restart_and_change(self):
        trio.run(self.run_scenario)

    async def run_scenario(self):
        services = [ServiceDescription("emisor", 1, 8, 50, 5.0)]
        services.append(ServiceDescription("agenda", 2, 8, 50, 5.0))
        scene = run_scene(describe_scene(services), INTENT, 1, False, [KIND])
        async with scene as deployment, trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(self.send_calls, deployment, number)
            await deployment.change("emisor-1", [Change(rate_limit=LIMIT_PER_S)])
            await trio.sleep(SETTLE_S)
            served = [await self.find_served_per_second(deployment)]
            owner = deployment.nodes[deployment.layout.find("emisor-1").name]
            owner.kill()
            owner.start()
            await trio.sleep(2 * SETTLE_S)
            served.append(await self.find_served_per_second(deployment))
            other = deployment.layout.members[1]
            address = f"127.0.0.1:{other.upstreams}"
            await deployment.change("emisor-1", [Change(node=address)])
            await trio.sleep(2 * SETTLE_S)
            served.append(await self.find_served_per_second(deployment))
            counters = await deployment.counters("emisor-1")
            nursery.cancel_scope.cancel()
        self.assertLessEqual(counters["limit_worst"], 1.0)
        for per_second in served:
            self.assertGreaterEqual(per_second, MIN_SERVED_SHARE * LIMIT_PER_S)

    async def send_calls(self, deployment, number):
        """Send calls through one of the nodes, at a third of the total rate."""
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

    async def find_served_per_second(self, deployment):
        """Return the rate of served requests in the first sufficient measurement, or the last."""
        for _ in range(MAX_MEASUREMENTS):
            per_second = await self.measure_served_per_second(deployment)
            if per_second >= MIN_SERVED_SHARE * LIMIT_PER_S:
                break
        return per_second

    async def measure_served_per_second(self, deployment):
        """Return how many requests per second the upstream runs."""
        before, started_at = await deployment.counters("emisor-1"), trio.current_time()
        await trio.sleep(MEASURE_S)
        after, span = await deployment.counters("emisor-1"), trio.current_time() - started_at
        return (after["runs"] - before["runs"]) / span


if __name__ == "__main__":
    unittest.main()
