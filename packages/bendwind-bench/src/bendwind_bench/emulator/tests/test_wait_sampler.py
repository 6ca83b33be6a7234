import types
import unittest
from unittest import mock

from bendwind_bench.emulator.scenario import change_scenario
from bendwind_bench.emulator.scheduler import PausableScheduler, Scheduler
from bendwind_bench.emulator.tests.test_world import SMALL, shorten
from bendwind_bench.emulator.wait_sampler import WaitSampler, is_free
from bendwind_bench.emulator.world import World, run_scenario
from bendwind_core.attempts import AttemptId
from bendwind_core.world import UpstreamState

ATTEMPT = AttemptId("a", 1, 1)


class FakeDeployment:
    """Hold two nodes, of one service by default; `wait` keeps an attempt waiting at the first."""

    def __init__(self, services=("s", "s")):
        self.scheduler = Scheduler()
        self.nodes = {
            name: self.create_node(service) for name, service in zip("ab", services, strict=True)
        }
        self.wait_sampler = WaitSampler(self)
        self.wait_sampler.start()

    def create_node(self, service):
        owner_state = types.SimpleNamespace(
            waiting={},
            running={},
            run_limit=2,
            state=UpstreamState.READY,
            is_stopping=False,
            is_unreachable=False,
            is_leaving=False,
        )
        table = types.SimpleNamespace(name=service)
        upstream = types.SimpleNamespace(table=table, is_down=False, find_factor=lambda: 1.0)
        return types.SimpleNamespace(
            scheduler=PausableScheduler(self.scheduler),
            entry=types.SimpleNamespace(runs={}),
            is_up=True,
            owner=types.SimpleNamespace(owner_state=owner_state),
            upstream=upstream,
        )

    def wait(self, length, attempt=ATTEMPT):
        waiting = self.nodes["a"].owner.owner_state.waiting
        waiting[attempt] = None
        self.scheduler.run(self.scheduler.now + length)
        waiting.clear()


class WaitSamplerTest(unittest.TestCase):
    def test_wait_counts_while_another_upstream_of_the_service_is_free(self):
        deployment = FakeDeployment()
        deployment.wait(0.1)
        self.assertEqual(deployment.wait_sampler.count_long_waits(), 1)
        self.assertAlmostEqual(deployment.wait_sampler.sum_waits(), 0.1, delta=0.006)

    def test_short_waits_count_only_in_the_total_time(self):
        deployment = FakeDeployment()
        deployment.wait(0.018)
        self.assertEqual(deployment.wait_sampler.count_long_waits(), 0)
        self.assertGreater(deployment.wait_sampler.sum_waits(), 0.0)

    def test_attempts_of_one_call_count_together(self):
        deployment = FakeDeployment()
        second = AttemptId("a", 1, 2)
        deployment.nodes["a"].entry.runs.update({1: "call", 2: "call"})
        deployment.wait(0.016)
        deployment.wait(0.016, second)
        self.assertEqual(deployment.wait_sampler.count_long_waits(), 1)

    def test_upstream_that_cannot_start_a_request_at_once_is_not_free(self):
        cases = {
            "slots taken": lambda node: node.owner.owner_state.running.update({1: None, 2: None}),
            "has one waiting": lambda node: node.owner.owner_state.waiting.update({2: None}),
            "drains": lambda node: setattr(node.owner.owner_state, "state", UpstreamState.DRAINING),
            "leaves": lambda node: setattr(node.owner.owner_state, "is_leaving", True),
            "unreachable": lambda node: setattr(node.owner.owner_state, "is_unreachable", True),
            "down": lambda node: setattr(node.upstream, "is_down", True),
            "slow": lambda node: setattr(node.upstream, "find_factor", lambda: 4.0),
            "stands still": lambda node: node.scheduler.pause(9.0),
            "killed": lambda node: setattr(node, "is_up", False),
        }
        for name, change in cases.items():
            with self.subTest(name):
                deployment = FakeDeployment()
                self.assertTrue(is_free(deployment.nodes["b"]))
                change(deployment.nodes["b"])
                deployment.wait(0.1)
                self.assertEqual(deployment.wait_sampler.sum_waits(), 0.0)

    def test_upstream_of_another_service_does_not_count(self):
        deployment = FakeDeployment(("s", "t"))
        deployment.wait(0.1)
        self.assertEqual(deployment.wait_sampler.sum_waits(), 0.0)

    def test_single_upstream_never_counts_waits(self):
        scenario = change_scenario(SMALL, ("services.a.upstreams=1", "routes.r.per_second=90"))
        figures = run_scenario(scenario.ok, 1)
        self.assertGreater(figures.late + figures.refused, 0.0)
        self.assertEqual(figures.waited_free_s, 0.0)

    def test_sampling_does_not_change_the_run(self):
        scenario = shorten("one-slow", 3.0)
        sampled, unsampled = World(scenario, 1), World(scenario, 1)
        unsampled.wait_sampler = mock.Mock(count_long_waits=lambda: 0, sum_waits=lambda: 0.0)
        first, second = sampled.run(), unsampled.run()
        self.assertGreater(first.waited_free_s, 0.0)
        self.assertEqual(first.routes, second.routes)


if __name__ == "__main__":
    unittest.main()
