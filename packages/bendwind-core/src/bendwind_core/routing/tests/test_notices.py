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
        self.list(make_upstream())

    def list(self, *upstreams):
        set_upstreams(self.table, upstreams, 100.0)

    def report(self, name="u", **more):
        record_load(self.table, name, LoadSample(1, 0, 6, **more), 100.0)

    def find(self, upstream):
        return find_rate_limit(self.table.notices, upstream)

    def test_limit_outlasts_the_node_beside_its_upstream(self):
        self.report(limit_per_s=5.0)
        self.list()
        self.list(make_upstream(incarnation=2))
        self.assertEqual(self.find(make_upstream(incarnation=2)), 5.0)

    def test_owner_that_knows_nothing_ends_no_limit_and_one_that_knows_does(self):
        self.report(limit_per_s=5.0)
        self.report()
        self.assertEqual(self.find(make_upstream()), 5.0)
        self.report(limit_per_s=math.inf)
        self.assertIsNone(self.find(make_upstream()))

    def test_another_run_is_not_held_to_the_word_of_the_one_before(self):
        self.list(make_upstream(born_ms=7))
        self.report(limit_per_s=5.0, is_leaving=True)
        self.list(make_upstream(born_ms=8))
        self.assertIsNone(self.find(make_upstream(born_ms=8)))
        self.assertFalse(self.table.upstreams["u"].is_draining)

    def test_run_whose_birth_is_told_is_another_than_one_whose_birth_never_was(self):
        self.report(limit_per_s=5.0, is_leaving=True)
        self.assertEqual(self.find(make_upstream()), 5.0)
        self.assertIsNone(self.find(make_upstream(born_ms=8)))

    def test_listing_that_does_not_tell_the_birth_is_of_the_run_that_was_known(self):
        self.list(make_upstream(born_ms=7))
        self.report(limit_per_s=5.0)
        self.list(make_upstream(incarnation=2))
        self.assertEqual(self.find(make_upstream(incarnation=2)), 5.0)

    def test_upstream_that_said_it_leaves_is_not_used_whoever_lists_it_as_ready(self):
        self.report(is_leaving=True)
        self.list()
        self.list(make_upstream(incarnation=2))
        self.assertTrue(self.table.upstreams["u"].is_draining)
        self.report()
        self.assertTrue(self.table.upstreams["u"].is_draining)

    def test_what_is_remembered_is_bounded(self):
        for number in range(2 * MAX_NOTICES):
            self.list(make_upstream(f"u{number}"))
            self.report(f"u{number}", limit_per_s=5.0)
        self.assertEqual(len(self.table.notices), MAX_NOTICES)


if __name__ == "__main__":
    unittest.main()
