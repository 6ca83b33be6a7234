import collections
import unittest

import trio

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.deployment import Action, Fault, ServiceDescription
from bendwind_bench.experiments.scene import describe_scene, run_scene
from bendwind_bench.load import Outcome, RequestKind

INTENT = """
[[services]]
name = "emisor"
upstreams = ["emisor-*"]
longest_wait_ms = 5000

[[services.rules]]
path = "/certificates"
methods = ["POST"]
repeat = "never"
key_required = true
"""
KINDS = [
    RequestKind("emisor", "/records/1", answer_bytes=(0, 100_000)),
    RequestKind(
        "emisor",
        "/certificates",
        "POST",
        marked=True,
        keyed=True,
        resend=0.5,
        request_bytes=100_000,
    ),
]


class EndToEndTests(unittest.TestCase):
    def test_promises_are_kept_when_a_node_is_killed(self):
        async def main():
            service = ServiceDescription("emisor", 3, 8, 50, 5.0)
            async with run_scene(describe_scene([service]), INTENT, 1, False, KINDS) as deployment:
                victim = deployment.layout.members[2].name
                campaign = Campaign(
                    "end",
                    40.0,
                    4.0,
                    KINDS,
                    [Fault(2.0, Action.KILL, victim)],
                    timeout_ms=20_000.0,
                )
                samples, verdict = await run_campaign(deployment, campaign)
                upstreams = [member.upstream.name for member in deployment.layout.members]
                return samples, verdict, [await deployment.counters(name) for name in upstreams]

        samples, verdict, counters = trio.run(main)
        self.assertEqual(verdict.broken, [])
        # A request waits at an upstream only if more requests were sent to it than it has slots.
        self.assertEqual([item["most_waiting"] for item in counters], [0, 0, 0])
        self.assertTrue(all(item["most_connections"] <= 50 for item in counters))
        whole = collections.Counter(
            sample.keyed for sample in samples if sample.outcome is Outcome.WHOLE
        )
        self.assertGreater(whole[False], 0)
        self.assertGreater(whole[True], 0)
