"""Replay loads at upstreams that name a limit of their rate, or leave by their answers alone."""

import unittest

from bendwind_bench.emulator import load_scenario
from bendwind_bench.emulator.world import World
from bendwind_bench.limit_count import LimitCount

LEAST_USED = 0.85


class LimitedTest(unittest.TestCase):
    def run_scenario(self, name):
        return World(load_scenario(name).ok, 1).run()

    def check(self, name):
        figures = self.run_scenario(name)
        self.assertLessEqual(figures.limit_worst, 1.0)
        self.assertGreaterEqual(figures.limit_used, LEAST_USED)
        return figures

    def test_limit_is_kept_and_used_while_an_owner_starts_again(self):
        self.assertGreater(self.check("limited").in_time, 0.98)

    def test_limit_of_all_upstreams_is_kept_and_used(self):
        self.check("all-limited")

    def test_others_serve_what_the_limits_of_a_data_centre_leave(self):
        self.assertGreater(self.check("limited-data-centre").in_time, 0.98)

    def test_upstream_that_leaves_by_its_answers_gets_nothing_more(self):
        world = World(load_scenario("leaving-by-answers").ok, 1)
        figures = world.run()
        upstreams = [node.upstream for node in world.nodes.values()]
        self.assertTrue(any(upstream.is_leaving for upstream in upstreams))
        self.assertEqual(sum(upstream.after_leaving for upstream in upstreams), 0)
        self.assertGreater(figures.in_time, 0.95)


class LimitCountTest(unittest.TestCase):
    def test_windows_count_from_when_the_limit_has_to_be_kept(self):
        count = LimitCount()
        count.set_limit(5.0, 100.0)
        for step in range(100):
            count.record_arrival(100.0 + step * 0.04)
        # Ninety-nine came in the last four seconds, where 35 may.
        self.assertAlmostEqual(count.fullest_window_share, 100 / 35, delta=0.02)
        count.set_limit(None, 104.0)
        self.assertAlmostEqual(count.allowed_requests, 5.0)
        self.assertEqual(count.counted_requests, 25)


if __name__ == "__main__":
    unittest.main()
