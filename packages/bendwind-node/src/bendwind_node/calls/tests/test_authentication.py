import unittest

import trio
import trio.testing

from bendwind_core.customers import create_customer_table
from bendwind_core.routing import set_routing
from bendwind_core.world import (
    Customer,
    Repeat,
    Routing,
    Rule,
    Service,
    SplitPart,
    create_route,
    digest_key,
)
from bendwind_node.calls.authentication import authenticate
from bendwind_node.calls.dialect import BENDWIND_DIALECT
from bendwind_node.calls.tests.fakes import CallTestCluster, announce, make_exchange
from bendwind_node.calls.tests.scripted_server import OK, read_request, run_server

KEY = b"bendwind-key"
NORTE = Customer("norte", (digest_key(b"k1"), digest_key(b"k2")), rank=0)
SUL = Customer("sul", (digest_key(b"k3"),))


def authenticate_keys(*keys, is_open=False, customers=(NORTE, SUL)):
    table = None if customers is None else create_customer_table(customers)
    headers = ((b"host", b"h"), *((KEY, key) for key in keys))
    return authenticate(table, headers, BENDWIND_DIALECT, is_open=is_open)


class AuthenticateTest(unittest.TestCase):
    def test_one_known_key_identifies_its_customer_on_every_route(self):
        for is_open in (False, True):
            self.assertEqual(authenticate_keys(b"k2", is_open=is_open).ok, NORTE)
            self.assertEqual(authenticate_keys(b"k3", is_open=is_open).ok, SUL)

    def test_other_keys_are_refused_except_on_open_routes(self):
        for keys in ((), (b"k4",), (b"",), (b"k1", b"k1"), (b"k1", b"k4"), (b"k1, k1",), (b"K1",)):
            refusal = authenticate_keys(*keys).error
            self.assertEqual((refusal.status, refusal.retry_after_ms), (401, None), keys)
            self.assertIsNone(authenticate_keys(*keys, is_open=True).ok)

    def test_empty_customer_list_refuses_all_and_missing_list_needs_no_key(self):
        self.assertEqual(authenticate_keys(b"k1", customers=()).error.status, 401)
        self.assertIsNone(authenticate_keys(b"k1", customers=None).ok)


class AuthenticatedCallTest(unittest.TestCase):
    def run_with(self, check):
        self.seen = []

        async def handler(stream, number):
            while data := await read_request(stream):
                self.seen.append(data.lower())
                await stream.send_all(OK)

        async def main():
            with trio.fail_after(20):
                async with run_server(handler) as port, trio.open_nursery() as nursery:
                    bench = CallTestCluster(nursery)
                    bench.membership.customers = create_customer_table((NORTE, SUL))
                    await check(bench, port)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_upstream_and_owner_receive_the_customer_and_its_rank(self):
        async def check(bench, port):
            announce(bench.add_owner("other"), port)
            done = await bench.call(make_exchange(bendwind_key="k1", bendwind_customer="forged"))
            self.assertEqual(done.status, 200)
            hand_over = bench.hub.sent[0]
            self.assertEqual((hand_over.customer, hand_over.rank), ("norte", 0))
            names = [name for name, _ in hand_over.headers]
            self.assertNotIn(KEY, names)
            self.assertIn((b"bendwind-customer", b"norte"), hand_over.headers)
            self.assertIn(b"bendwind-customer: norte\r\n", self.seen[0])
            self.assertNotIn(b"forged", self.seen[0])
            self.assertNotIn(b"k1", self.seen[0])

        self.run_with(check)

    def test_request_without_a_known_key_is_not_read_and_not_admitted(self):
        async def check(bench, port):
            announce(bench.owner, port)
            for service in ("svc", "else"):
                exchange = make_exchange(b"POST", b"body", bendwind_service=service)
                done = await bench.call(exchange)
                self.assertEqual((done.status, exchange.parts), (401, [b"body"]))
                self.assertEqual(done.headers[b"www-authenticate"], b'ApiKey header="bendwind-key"')
                self.assertNotIn(b"retry-after", done.headers)
            self.assertEqual((bench.entry.runs, bench.intake.in_flight), ({}, 0))
            self.assertEqual((bench.entry.service_states, bench.entry.unknown_keys), ({}, 2))

        self.run_with(check)
        self.assertEqual(self.seen, [])

    def test_node_without_a_configuration_does_not_refuse_a_key_as_unknown(self):
        async def check(bench, port):
            membership = bench.membership
            membership.customers, membership.fresh = None, False
            membership.services.clear()
            self.assertEqual((await bench.call(make_exchange(bendwind_key="k9"))).status, 503)

        self.run_with(check)

    def test_customers_received_while_waiting_for_the_service_are_used(self):
        async def check(bench, port):
            announce(bench.owner, port)
            membership = bench.membership
            table, membership.customers = membership.customers, None
            membership.view.confirmed_at = None

            async def receive_customers():
                await trio.sleep(0.05)
                membership.customers = table
                membership.view.confirmed_at = 0.0

            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive_customers)
                done = await bench.call(make_exchange(bendwind_key="k9"))
            self.assertEqual(done.status, 401)

        self.run_with(check)
        self.assertEqual(self.seen, [])

    def test_customers_may_choose_the_same_idempotency_key(self):
        async def check(bench, port):
            keys = []
            for key in ("k1", "k2", "k3"):
                exchange = make_exchange(b"POST", b"x", bendwind_key=key, idempotency_key="order-1")
                keys.append((await bench.intake.admit_request(exchange, "c")).ok.key)
            self.assertEqual(keys[0], keys[1])
            self.assertNotIn(keys[2], (keys[0], "order-1"))
            bench.membership.customers = None
            exchange = make_exchange(b"POST", b"x", idempotency_key="order-1")
            self.assertEqual((await bench.intake.admit_request(exchange, "c")).ok.key, "order-1")

        self.run_with(check)

    def test_open_rule_is_served_without_a_key(self):
        async def check(bench, port):
            announce(bench.owner, port)
            rules = (Rule("/x", ("GET",), is_open=True),)
            bench.membership.services["svc"] = Service("svc", ("*",), rules=rules)
            self.assertEqual((await bench.call(make_exchange())).status, 200)
            self.assertEqual((await bench.call(make_exchange(b"POST"))).status, 401)

        self.run_with(check)

    def test_open_route_is_served_without_a_key(self):
        async def check(bench, port):
            announce(bench.owner, port)
            routes = tuple(
                create_route(
                    name,
                    "svc",
                    prefix,
                    (SplitPart("svc"),),
                    repeat=Repeat.NEVER,
                    timeout_ms=1000.0,
                    target_latency_ms=None,
                    attempts=1,
                    priority=2,
                    is_open=is_open,
                )
                for name, prefix, is_open in (("open", "/", True), ("closed", "/x/", False))
            )
            set_routing(bench.entry.routes, Routing(1, routes))
            self.assertEqual((await bench.call(make_exchange())).status, 200)
            closed = make_exchange()
            closed.request.target = b"/x/1"
            self.assertEqual((await bench.call(closed)).status, 401)

        self.run_with(check)


if __name__ == "__main__":
    unittest.main()
