import unittest

import trio

from bendwind_core.customers import create_customer_table
from bendwind_core.routing import set_routing
from bendwind_core.world import Customer, Repeat, Routing, SplitPart, create_route, digest_key
from bendwind_node.calls.tests.fakes import CallTestCluster, make_exchange


class RoutedIntakeTest(unittest.TestCase):
    def ask(self, *, path=b"/a/1", is_fresh, customers=None, **headers):
        """Return the answer of a node that has one route, `/a/`, and no upstream."""

        async def main():
            async with trio.open_nursery() as nursery:
                bench = CallTestCluster(nursery)
                route = create_route(
                    "a",
                    "svc",
                    "/a/",
                    (SplitPart("svc"),),
                    repeat=Repeat.NEVER,
                    timeout_ms=100.0,
                    target_latency_ms=None,
                    attempts=1,
                    priority=2,
                )
                set_routing(bench.entry.routes, Routing(1, (route,)))
                bench.membership.fresh = is_fresh
                if customers is not None:
                    bench.membership.customers = create_customer_table(customers)
                exchange = make_exchange(**headers)
                exchange.request.target = path
                await bench.call(exchange)
                nursery.cancel_scope.cancel()
            return exchange

        return trio.run(main)

    def check_not_run(self, exchange):
        self.assertEqual(exchange.status, 503)
        self.assertEqual(exchange.headers[b"bendwind-outcome"], b"not-run")
        self.assertEqual(exchange.headers[b"bendwind-reason"], b"stale-configuration")

    # A node that had lost its voter answered 404 on a route that a version accepted more than a
    # lease earlier had added. The proof of freshness was asked for only once a route was found,
    # so that a node without it spoke for the newest configuration all the same.
    def test_only_a_fresh_node_says_that_there_is_no_route(self):
        self.assertEqual(self.ask(path=b"/b/1", is_fresh=True).status, 404)
        self.check_not_run(self.ask(path=b"/b/1", is_fresh=False))

    # The same held for keys: one that a newer version brought was refused with 401.
    def test_only_a_fresh_node_says_that_a_key_is_unknown(self):
        customers = (Customer("norte", (digest_key(b"k1"),)),)
        for headers in ({}, {"bendwind_key": "k2"}):
            fresh = self.ask(is_fresh=True, customers=customers, **headers)
            self.assertEqual(fresh.status, 401)
            self.check_not_run(self.ask(is_fresh=False, customers=customers, **headers))


if __name__ == "__main__":
    unittest.main()
