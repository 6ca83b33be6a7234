import unittest

import trio

from bendwind_core.customers import create_customer_table
from bendwind_core.routing import find_route, set_routing
from bendwind_core.world import Customer, Repeat, Routing, SplitPart, create_route, digest_key
from bendwind_node.calls.tests.fakes import CallTestCluster, make_exchange


def make_route(prefix):
    return create_route(
        "a",
        "svc",
        prefix,
        (SplitPart("svc"),),
        repeat=Repeat.NEVER,
        timeout_ms=100.0,
        target_latency_ms=None,
        attempts=1,
        priority=2,
    )


class RoutedIntakeTest(unittest.TestCase):
    def send_request(self, *, path=b"/a/1", is_fresh, customers=None, **headers):
        """Return the exchange of a request to a node that has one route, `/a/`, and no upstream."""

        async def main():
            async with trio.open_nursery() as nursery:
                bench = CallTestCluster(nursery)
                set_routing(bench.entry.routes, Routing(1, (make_route("/a/"),)))
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

    # Guards against a node that has lost its voter answering 404 on a route that was added by a
    # version accepted more than a lease earlier. This happens if freshness is checked only after a
    # route was found: a node without proof of freshness then answers for the newest configuration.
    def test_only_a_fresh_node_refuses_a_request_without_a_route(self):
        self.assertEqual(self.send_request(path=b"/b/1", is_fresh=True).status, 404)
        self.check_not_run(self.send_request(path=b"/b/1", is_fresh=False))

    # The same applies to keys: a key added by a newer version must not be refused with 401.
    def test_only_a_fresh_node_refuses_a_key_as_unknown(self):
        customers = (Customer("norte", (digest_key(b"k1"),)),)
        for headers in ({}, {"bendwind_key": "k2"}):
            fresh = self.send_request(is_fresh=True, customers=customers, **headers)
            self.assertEqual(fresh.status, 401)
            self.check_not_run(self.send_request(is_fresh=False, customers=customers, **headers))

    # Failure: a node that received the right routes of the revision that it held went on by the
    # others until the operator's next revision.
    def test_routes_replaced_within_a_revision_are_used(self):
        async def main():
            async with trio.open_nursery() as nursery:
                bench = CallTestCluster(nursery)
                for prefix in ("/a/", "/b/"):
                    bench.membership.routing = Routing(1, (make_route(prefix),))
                    bench.entry.refresh_routing()
                nursery.cancel_scope.cancel()
            return find_route(bench.entry.routes, "svc", "/b/1")

        self.assertIsNotNone(trio.run(main))


if __name__ == "__main__":
    unittest.main()
