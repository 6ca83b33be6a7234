import unittest

from bendwind_core.admission.origins import (
    HALVING_COUNT,
    MAX_ROUTES,
    RouteOrigins,
    is_inner_call,
    record_origin,
)


def note(origins, route, **counts):
    for origin, number in counts.items():
        for _ in range(number):
            record_origin(origins, route, origin)


class OriginsTest(unittest.TestCase):
    def setUp(self):
        self.origins = RouteOrigins()

    def test_route_that_one_service_alone_asks_for_is_an_inner_call(self):
        note(self.origins, "status", till=40)
        note(self.origins, "redeem", till=10, ledger=8, portal=9)
        self.assertTrue(is_inner_call(self.origins, "status"))
        self.assertFalse(is_inner_call(self.origins, "redeem"))

    def test_nothing_is_told_where_all_requests_come_from_one_service(self):
        note(self.origins, "status", till=40)
        note(self.origins, "redeem", till=40)
        self.assertFalse(is_inner_call(self.origins, "status"))

    def test_nothing_is_told_of_a_few_requests(self):
        note(self.origins, "status", till=19)
        note(self.origins, "redeem", till=10, ledger=30)
        self.assertFalse(is_inner_call(self.origins, "status"))
        self.assertFalse(is_inner_call(self.origins, "unknown"))

    def test_requests_of_entry_nodes_without_an_upstream_are_callers(self):
        note(self.origins, "front", **{"": 40})
        note(self.origins, "redeem", till=10, ledger=30)
        self.assertFalse(is_inner_call(self.origins, "front"))

    def test_a_route_that_callers_begin_to_use_is_one_of_theirs(self):
        note(self.origins, "status", till=2 * HALVING_COUNT)
        note(self.origins, "redeem", till=10, ledger=30)
        note(self.origins, "status", ledger=20)
        self.assertFalse(is_inner_call(self.origins, "status"))

    def test_memory_is_bounded(self):
        for number in range(3 * MAX_ROUTES):
            note(self.origins, f"r{number}", till=1)
        self.assertEqual(len(self.origins.counts), MAX_ROUTES)


if __name__ == "__main__":
    unittest.main()
