"""Test upstreams that state a rate limit, or their leaving, only in their answers."""

import unittest

from bendwind_bench.emulator import load_scenario
from bendwind_bench.emulator.world import World
from bendwind_bench.limit_count import LimitCount

MIN_LIMIT_USED = 0.85


class LimitedTest(unittest.TestCase):
    def run_scenario(self, name):
        return World(load_scenario(name).ok, 1).run()

    def check_limit(self, name):
        figures = self.run_scenario(name)
        self.assertLessEqual(figures.limit_worst, 1.0)
        self.assertGreaterEqual(figures.limit_used, MIN_LIMIT_USED)
        return figures

    def test_limit_is_kept_and_used_while_an_owner_restarts(self):
        self.assertGreater(self.check_limit("limited").in_time, 0.98)

    def test_limit_of_all_upstreams_is_kept_and_used(self):
        self.check_limit("all-limited")

    def test_other_data_centres_serve_requests_beyond_the_limits_of_one(self):
        self.assertGreater(self.check_limit("limited-data-centre").in_time, 0.98)

    def test_upstream_that_states_its_leaving_in_answers_gets_no_more_requests(self):
        world = World(load_scenario("leaving-by-answers").ok, 1)
        figures = world.run()
        upstreams = [node.upstream for node in world.nodes.values()]
        self.assertTrue(any(upstream.is_leaving for upstream in upstreams))
        self.assertEqual(sum(upstream.arrivals_after_leaving for upstream in upstreams), 0)
        self.assertGreater(figures.in_time, 0.95)


class LimitCountTest(unittest.TestCase):
    def test_windows_count_once_the_limit_must_be_kept(self):
        count = LimitCount()
        count.set_limit(5.0, 100.0)
        for step in range(100):
            count.record_arrival(100.0 + step * 0.04)
        # 100 requests arrived in the last four seconds, where 35 are allowed.
        self.assertAlmostEqual(count.fullest_window_share, 100 / 35, delta=0.02)
        count.set_limit(None, 104.0)
        self.assertAlmostEqual(count.allowed_requests, 5.0)
        self.assertEqual(count.counted_requests, 25)


if __name__ == "__main__":
    unittest.main()
