import math
import unittest

from bendwind_core.routing import create_upstream_table, find_rate_limit, record_load, set_upstreams
from bendwind_core.routing.notices import MAX_NOTICES
from bendwind_core.world import Instance, LoadSample, Upstream


def make_upstream(name="u", incarnation=1, born_ms=0):
    owner = Instance("n", "a", "127.0.0.1", 1, incarnation=incarnation)
    return Upstream(name, "s", owner, 6, 6, born_ms=born_ms)


class NoticesTest(unittest.TestCase):
    def setUp(self):
        self.table = create_upstream_table("s")
        self.announce(make_upstream())

    def announce(self, *upstreams):
        set_upstreams(self.table, upstreams, 100.0)

    def report(self, name="u", **more):
        record_load(self.table, name, LoadSample(1, 0, 6, **more), 100.0)

    def find(self, upstream):
        return find_rate_limit(self.table.notices, upstream)

    def test_limit_survives_a_restart_of_the_owner_node(self):
        self.report(limit_per_s=5.0)
        self.announce()
        self.announce(make_upstream(incarnation=2))
        self.assertEqual(self.find(make_upstream(incarnation=2)), 5.0)

    def test_report_without_limit_keeps_the_limit_and_infinite_limit_ends_it(self):
        self.report(limit_per_s=5.0)
        self.report()
        self.assertEqual(self.find(make_upstream()), 5.0)
        self.report(limit_per_s=math.inf)
        self.assertIsNone(self.find(make_upstream()))

    def test_notices_of_the_previous_run_do_not_apply_to_a_new_run(self):
        self.announce(make_upstream(born_ms=7))
        self.report(limit_per_s=5.0, is_leaving=True)
        self.announce(make_upstream(born_ms=8))
        self.assertIsNone(self.find(make_upstream(born_ms=8)))
        self.assertFalse(self.table.upstreams["u"].is_draining)

    def test_run_with_known_start_time_differs_from_run_without_one(self):
        self.report(limit_per_s=5.0, is_leaving=True)
        self.assertEqual(self.find(make_upstream()), 5.0)
        self.assertIsNone(self.find(make_upstream(born_ms=8)))

    def test_listing_without_start_time_refers_to_the_known_run(self):
        self.announce(make_upstream(born_ms=7))
        self.report(limit_per_s=5.0)
        self.announce(make_upstream(incarnation=2))
        self.assertEqual(self.find(make_upstream(incarnation=2)), 5.0)

    def test_leaving_upstream_is_not_used_even_if_an_owner_lists_it_as_ready(self):
        self.report(is_leaving=True)
        self.announce()
        self.announce(make_upstream(incarnation=2))
        self.assertTrue(self.table.upstreams["u"].is_draining)
        self.report()
        self.assertTrue(self.table.upstreams["u"].is_draining)

    def test_number_of_stored_notices_is_bounded(self):
        for number in range(2 * MAX_NOTICES):
            self.announce(make_upstream(f"u{number}"))
            self.report(f"u{number}", limit_per_s=5.0)
        self.assertEqual(len(self.table.notices), MAX_NOTICES)


if __name__ == "__main__":
    unittest.main()
