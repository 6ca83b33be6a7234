import types
import unittest
from unittest import mock

from bendwind_bench.emulator.agenda import Agenda, PausableAgenda
from bendwind_bench.emulator.scenario import change_scenario
from bendwind_bench.emulator.tests.test_world import SMALL, shorten
from bendwind_bench.emulator.waiting import WaitWatch, is_free
from bendwind_bench.emulator.world import World, run_scenario
from bendwind_core.attempts import AttemptId
from bendwind_core.world import UpstreamState

WAITING = AttemptId("a", 1, 1)


class Site:
    """Hold two nodes, of one service by default; `wait` keeps an attempt waiting at the first."""

    def __init__(self, services=("s", "s")):
        self.agenda = Agenda()
        self.nodes = {
            name: self.create(service) for name, service in zip("ab", services, strict=True)
        }
        self.watch = WaitWatch(self)
        self.watch.start()

    def create(self, service):
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
            agenda=PausableAgenda(self.agenda),
            entry=types.SimpleNamespace(runs={}),
            is_up=True,
            owner=types.SimpleNamespace(owner_state=owner_state),
            upstream=upstream,
        )

    def wait(self, length, attempt=WAITING):
        waiting = self.nodes["a"].owner.owner_state.waiting
        waiting[attempt] = None
        self.agenda.run(self.agenda.now + length)
        waiting.clear()


class WaitWatchTest(unittest.TestCase):
    def test_wait_counts_while_another_upstream_of_the_service_is_free(self):
        site = Site()
        site.wait(0.1)
        self.assertEqual(site.watch.count_long(), 1)
        self.assertAlmostEqual(site.watch.sum_up(), 0.1, delta=0.006)

    def test_short_waits_count_in_seconds_alone(self):
        site = Site()
        site.wait(0.018)
        self.assertEqual(site.watch.count_long(), 0)
        self.assertGreater(site.watch.sum_up(), 0.0)

    def test_attempts_of_one_call_count_together(self):
        site = Site()
        second = AttemptId("a", 1, 2)
        site.nodes["a"].entry.runs.update({1: "call", 2: "call"})
        site.wait(0.016)
        site.wait(0.016, second)
        self.assertEqual(site.watch.count_long(), 1)

    def test_upstream_that_could_not_start_it_at_once_is_not_free(self):
        cases = {
            "slots taken": lambda node: node.owner.owner_state.running.update({1: None, 2: None}),
            "has one waiting": lambda node: node.owner.owner_state.waiting.update({2: None}),
            "drains": lambda node: setattr(node.owner.owner_state, "state", UpstreamState.DRAINING),
            "leaves": lambda node: setattr(node.owner.owner_state, "is_leaving", True),
            "unreachable": lambda node: setattr(node.owner.owner_state, "is_unreachable", True),
            "down": lambda node: setattr(node.upstream, "is_down", True),
            "slow": lambda node: setattr(node.upstream, "find_factor", lambda: 4.0),
            "stands still": lambda node: node.agenda.pause(9.0),
            "killed": lambda node: setattr(node, "is_up", False),
        }
        for name, change in cases.items():
            with self.subTest(name):
                site = Site()
                self.assertTrue(is_free(site.nodes["b"]))
                change(site.nodes["b"])
                site.wait(0.1)
                self.assertEqual(site.watch.sum_up(), 0.0)

    def test_upstream_of_another_service_does_not_count(self):
        site = Site(("s", "t"))
        site.wait(0.1)
        self.assertEqual(site.watch.sum_up(), 0.0)

    def test_single_upstream_is_never_beside_a_free_one(self):
        scenario = change_scenario(SMALL, ("services.a.upstreams=1", "routes.r.per_second=90"))
        figures = run_scenario(scenario.ok, 1)
        self.assertGreater(figures.late + figures.refused, 0.0)
        self.assertEqual(figures.waited_free_s, 0.0)

    def test_looking_changes_nothing(self):
        scenario = shorten("one-slow", 3.0)
        seen, unseen = World(scenario, 1), World(scenario, 1)
        unseen.watch = mock.Mock(count_long=lambda: 0, sum_up=lambda: 0.0)
        first, second = seen.run(), unseen.run()
        self.assertGreater(first.waited_free_s, 0.0)
        self.assertEqual(first.routes, second.routes)


if __name__ == "__main__":
    unittest.main()
