import collections
import unittest

import trio

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.deployment import Action, Fault, ServiceDescription
from bendwind_bench.experiments.phase_runner import describe_small_deployment, run_small_deployment
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
    def test_guarantees_hold_while_a_node_is_killed(self):
        async def main():
            service = ServiceDescription("emisor", 3, 8, 50, 5.0)
            async with run_small_deployment(
                describe_small_deployment([service]), INTENT, 1, False, KINDS
            ) as deployment:
                victim = deployment.layout.members[2].name
                campaign = Campaign(
                    "end",
                    40.0,
                    4.0,
                    KINDS,
                    [Fault(2.0, Action.KILL, victim)],
                    timeout_ms=20_000.0,
                )
                samples, guarantees = await run_campaign(deployment, campaign)
                upstreams = [member.upstream.name for member in deployment.layout.members]
                return (
                    samples,
                    guarantees,
                    [await deployment.read_counters(name) for name in upstreams],
                )

        samples, guarantees, counters = trio.run(main)
        self.assertEqual(guarantees.violations, [])
        # A request waits at an upstream only if it was sent beyond the upstream's slots.
        self.assertEqual([item["most_waiting"] for item in counters], [0, 0, 0])
        self.assertTrue(all(item["most_connections"] <= 50 for item in counters))
        whole = collections.Counter(
            sample.keyed for sample in samples if sample.outcome is Outcome.WHOLE
        )
        self.assertGreater(whole[False], 0)
        self.assertGreater(whole[True], 0)
