import unittest

from bendwind_core.admission.origins import (
    HALVING_COUNT,
    MAX_ROUTES,
    RouteOrigins,
    is_inner_call,
    record_origin,
)


def record(origins, route, **counts):
    for origin, count in counts.items():
        for _ in range(count):
            record_origin(origins, route, origin)


class RouteOriginsTest(unittest.TestCase):
    def setUp(self):
        self.origins = RouteOrigins()

    def test_route_requested_from_one_service_only_is_inner(self):
        record(self.origins, "status", till=40)
        record(self.origins, "redeem", till=10, ledger=8, portal=9)
        self.assertTrue(is_inner_call(self.origins, "status"))
        self.assertFalse(is_inner_call(self.origins, "redeem"))

    def test_no_route_is_inner_if_all_requests_come_from_one_service(self):
        record(self.origins, "status", till=40)
        record(self.origins, "redeem", till=40)
        self.assertFalse(is_inner_call(self.origins, "status"))

    def test_no_route_is_inner_after_few_requests(self):
        record(self.origins, "status", till=19)
        record(self.origins, "redeem", till=10, ledger=30)
        self.assertFalse(is_inner_call(self.origins, "status"))
        self.assertFalse(is_inner_call(self.origins, "unknown"))

    def test_requests_at_entry_nodes_without_an_upstream_are_not_inner(self):
        record(self.origins, "front", **{"": 40})
        record(self.origins, "redeem", till=10, ledger=30)
        self.assertFalse(is_inner_call(self.origins, "front"))

    def test_route_that_callers_start_to_use_is_no_longer_inner(self):
        record(self.origins, "status", till=2 * HALVING_COUNT)
        record(self.origins, "redeem", till=10, ledger=30)
        record(self.origins, "status", ledger=20)
        self.assertFalse(is_inner_call(self.origins, "status"))

    def test_number_of_routes_is_bounded(self):
        for count in range(3 * MAX_ROUTES):
            record(self.origins, f"r{count}", till=1)
        self.assertEqual(len(self.origins.counts), MAX_ROUTES)


if __name__ == "__main__":
    unittest.main()
