import unittest
from unittest import mock

import trio
import trio.testing
from msgspec.structs import replace

from bendwind_core.attempts import BodyPart, HandOver, NotRunReason
from bendwind_core.attempts import events as ev
from bendwind_core.limits import ProbeBudget
from bendwind_core.world import Limits, Service, StaleAction, UpstreamState
from bendwind_node.calls.body_flow import PART_BYTES, WINDOW_BYTES
from bendwind_node.calls.call_delivery import Delivery
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.calls.probe_task import ProbeTask
from bendwind_node.calls.tests.fakes import MIB, CallTestCluster, announce, make_exchange
from bendwind_node.calls.tests.scripted_server import OK, read_request, run_server

POST = b"POST"


class TestCallPath(unittest.TestCase):
    def run_with(self, handler, check, **settings):
        self.runs = 0

        async def count(stream, number):
            while data := await read_request(stream):
                self.runs += 1
                await handler(stream, data)

        async def main():
            with trio.fail_after(20):
                async with run_server(count) as port, trio.open_nursery() as nursery:
                    await check(CallTestCluster(nursery, **settings), port)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def make_body_reader(self):
        """Return a buffer and the handler that reads a body of one mebibyte into it."""
        received = bytearray()

        async def read_body(stream, data):
            received.extend(data.partition(b"\r\n\r\n")[2])
            while len(received) < MIB:
                received.extend(await stream.receive_some(65536))
            await stream.send_all(OK)

        return received, read_body

    async def answer_ok(self, stream, data):
        await stream.send_all(OK)

    def test_own_upstream_answers_whole(self):
        async def check(cluster, port):
            announce(cluster.owner, port)
            done = await cluster.call(make_exchange())
            self.assertEqual((done.status, done.body, done.is_complete), (200, b"ok", True))
            self.assertEqual((cluster.entry.runs, cluster.intake.in_flight), ({}, 0))

        self.run_with(self.answer_ok, check)

    def test_a_host_names_its_service_whatever_its_case_and_port(self):
        async def check(cluster, port):
            announce(cluster.owner, port)
            for host in (b"svc.example", b"Svc.Example:8101", b"svc", b"SVC:80"):
                exchange = make_exchange()
                exchange.request.headers = ((b"host", host),)
                self.assertEqual((await cluster.call(exchange)).status, 200, host)

        service = Service("svc", ("*",), hosts=("svc.example",))
        self.run_with(self.answer_ok, check, service=service)

    def test_methods_that_no_upstream_serves_end_at_the_entry_node(self):
        async def check(cluster, port):
            announce(cluster.owner, port)
            for method in (b"CONNECT", b"TRACE"):
                exchange = await cluster.call(make_exchange(method))
                self.assertEqual(exchange.status, 501)

        self.run_with(self.answer_ok, check)
        self.assertEqual(self.runs, 0)

    def test_long_answer_passes_a_slow_caller_within_its_window(self):
        async def long_answer(stream, data):
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * MIB)
            await stream.send_all(head + b"z" * 2 * MIB)

        async def check(cluster, port):
            announce(cluster.add_owner("other"), port)
            exchange = make_exchange()
            exchange.slow = 0.002
            most = 0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.call, exchange)
                while not exchange.is_complete:
                    held = [p for run in cluster.entry.runs.values() for p in run.incoming.values()]
                    most = max(most, sum(len(part.data) for part in held))
                    await trio.sleep(0.001)
            self.assertEqual(len(exchange.body), 2 * MIB)
            self.assertLessEqual(most, WINDOW_BYTES + PART_BYTES)

        self.run_with(long_answer, check)

    def test_long_request_reaches_another_owner_whole(self):
        received, read_body = self.make_body_reader()

        async def check(cluster, port):
            owner = cluster.add_owner("other")
            announce(owner, port)
            done = await cluster.call(make_exchange(POST, b"q" * MIB))
            self.assertEqual((done.status, len(received)), (200, MIB))
            self.assertEqual((owner.assemblies.budget.used, cluster.intake.budget.used), (0, 0))

        self.run_with(read_body, check)

    def test_long_body_goes_far_only_once_its_owner_takes_it(self):
        # Bodies were sent whole to owners in other data centres that then refused the request.
        received, read_body = self.make_body_reader()

        async def check(cluster, port):
            owner = cluster.add_owner("other", data_centre="far")
            announce(owner, port)
            sent = cluster.hub.sent
            done = await cluster.call(make_exchange(POST, b"q" * MIB))
            self.assertEqual((done.status, len(received)), (200, MIB))
            self.assertEqual(sent[0].body, b"")
            owner.register.drain()
            cluster.membership.known["svc"]["svc-1"] = replace(
                cluster.membership.known["svc"]["svc-1"], state=UpstreamState.READY
            )
            cluster.entry.refresh_upstreams("svc")
            sent.clear()
            refused = await cluster.call(make_exchange(POST, b"q" * MIB))
            self.assertEqual(refused.headers[b"bendwind-reason"], b"draining")
            self.assertEqual(len(sent), 1)
            self.assertEqual((owner.assemblies.budget.used, cluster.intake.budget.used), (0, 0))

        self.run_with(read_body, check)

    def test_long_body_stays_until_an_owner_takes_a_try_that_may_not_wait(self):
        # An upstream in the same data centre got the whole body, and sent it back when busy.
        received, read_body = self.make_body_reader()

        async def check(cluster, port):
            owners = [cluster.add_owner(name) for name in ("one", "two")]
            for number, owner in enumerate(owners):
                announce(owner, port, name=f"svc-{number}")
            for owned in owners[0].register.owned.values():
                owned.owner_state.slot_share = 0.0
                owned.owner_state.connections = 0
            sent = cluster.hub.sent
            for _ in range(4):
                received.clear()
                done = await cluster.call(make_exchange(POST, b"q" * MIB))
                self.assertEqual((done.status, len(received)), (200, MIB))
            firsts = [message for message in sent if isinstance(message, HandOver)]
            self.assertTrue(all(message.body == b"" for message in firsts))
            self.assertEqual(owners[0].assemblies.budget.used, 0)
            parts = [message for message in sent if isinstance(message, BodyPart)]
            self.assertEqual(sum(len(part.data) for part in parts), 4 * MIB)

        self.run_with(read_body, check)

    def test_answer_cut_at_the_upstream_aborts_the_caller(self):
        async def cut(stream, data):
            await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nso")
            await stream.aclose()

        async def check(cluster, port):
            announce(cluster.owner, port)
            done = await cluster.call(make_exchange())
            self.assertEqual((done.is_aborted, done.is_complete), (True, False))

        self.run_with(cut, check)

    def test_upstream_of_an_owner_that_only_the_voters_lost_stays_in_use(self):
        # Upstreams of instances that were cut off from the voters alone stood idle while others
        # refused requests.
        async def check(cluster, port):
            announce(cluster.add_owner("other"), port)
            self.assertEqual((await cluster.call(make_exchange())).status, 200)
            cluster.membership.known.clear()
            cluster.entry.refresh_upstreams("svc")
            self.assertEqual(cluster.hub.checked, ["other"])
            self.assertEqual((await cluster.call(make_exchange())).status, 200)
            cluster.hub.cut("other")
            done = await cluster.call(make_exchange())
            self.assertEqual(done.headers[b"bendwind-reason"], b"no-upstream")

        self.run_with(self.answer_ok, check)

    def test_upstream_that_its_owner_sends_away_is_used_no_more(self):
        async def check(cluster, port):
            owner = cluster.add_owner("other")
            announce(owner, port)
            await cluster.call(make_exchange())
            owner.register.handle_departure("svc-1")
            cluster.membership.known.clear()
            cluster.entry.refresh_upstreams("svc")
            for _ in range(2):
                done = await cluster.call(make_exchange())
                self.assertEqual(done.headers[b"bendwind-reason"], b"no-upstream")
            cluster.entry.refresh_upstreams("svc")
            self.assertEqual(cluster.entry.choices["svc"].table.upstreams, {})
            self.assertEqual(self.runs, 1)

        self.run_with(self.answer_ok, check)

    def test_link_lost_before_the_hand_over_arrived_is_proven_not_run(self):
        async def check(cluster, port):
            announce(cluster.add_owner("other"), port)
            cluster.hub.hold = True
            exchange = make_exchange(POST, b"x")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.call, exchange)
                await trio.testing.wait_all_tasks_blocked()
                cluster.hub.hold = False
                cluster.membership.fresh = False
                cluster.hub.cut("other")
            self.assertEqual(exchange.headers[b"bendwind-outcome"], b"not-run")
            self.assertEqual(self.runs, 0)

        self.run_with(self.answer_ok, check)

    def test_hand_over_that_came_while_its_owner_stood_still_does_not_run_after_its_time(self):
        # The process read it four seconds later, and granted it all of its time.
        async def check(cluster, port):
            other = cluster.add_owner("other")
            announce(other, port)
            cluster.hub.hold = True
            exchange = make_exchange(POST, b"x", bendwind_timeout_ms="1000")
            async with trio.open_nursery() as nursery:
                other.pause_detector.last_tick_at = trio.current_time()
                nursery.start_soon(cluster.call, exchange)
                await trio.testing.wait_all_tasks_blocked()
                other.pause_detector.last_tick_at -= 4.0
                link = cluster.hub.links["other"][0]
                for message in link.held:
                    link.deliver(message)
                link.held = None
            self.assertEqual(exchange.headers[b"bendwind-outcome"], b"not-run")
            self.assertEqual(self.runs, 0)

        self.run_with(self.answer_ok, check)

    def test_quarantined_call_of_an_upstream_has_no_other_request_turned_away(self):
        async def check(cluster, port):
            announce(cluster.owner, port)
            for reason, expected in ((NotRunReason.QUEUE_FULL, 1), (NotRunReason.QUARANTINED, 0)):
                exchange = make_exchange()
                run = (await cluster.intake.take(exchange, "c1")).ok
                run.is_inner = True
                delivery = Delivery(cluster.entry, exchange, run)
                with mock.patch.object(OwnerNode, "record_inner_call_refused") as recorded:
                    await delivery._carry_out(ev.FinishNotRun(reason, 50.0))
                self.assertEqual(recorded.call_count, expected)

        self.run_with(self.answer_ok, check)

    def test_fence_near_the_deadline_is_no_error_of_the_upstream(self):
        # Each fence counted as one, and an attempt whose link broke stayed outstanding for good.
        async def wait(stream, data):
            await trio.sleep_forever()

        async def check(cluster, port):
            announce(cluster.add_owner("other"), port)
            exchange = make_exchange(POST, b"x", bendwind_timeout_ms="100")
            done = await cluster.call(exchange)
            self.assertEqual(done.headers[b"bendwind-outcome"], b"unknown")
            view = cluster.entry.choices["svc"].table.upstreams["svc-1"]
            self.assertEqual((view.error_rate, len(view.outstanding)), (0.0, 0))

        self.run_with(wait, check)

    def test_link_lost_after_the_start_is_unknown_for_a_marked_request(self):
        go_on = trio.Event()

        async def wait(stream, data):
            await go_on.wait()
            await stream.send_all(OK)

        async def check(cluster, port):
            announce(cluster.add_owner("other"), port)
            exchange = make_exchange(POST, b"x")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.call, exchange)
                while not self.runs:
                    await trio.sleep(0.001)
                cluster.hub.cut("other")
            go_on.set()
            self.assertEqual(exchange.headers[b"bendwind-outcome"], b"unknown")
            self.assertEqual(self.runs, 1)

        self.run_with(wait, check)

    def test_refusal_of_a_restarted_owner_is_taken_as_proof(self):
        # It was dropped as late, because the reply's incarnation is not the one called.
        async def check(cluster, port):
            owner = cluster.add_owner("other", incarnation=2)
            announce(owner, port)
            cluster.set_stale_upstream(owner, incarnation=1)
            done = await cluster.call(make_exchange(POST, b"x"))
            self.assertEqual(done.headers[b"bendwind-outcome"], b"not-run")
            self.assertEqual(done.headers[b"bendwind-reason"], b"wrong-owner")
            self.assertEqual(self.runs, 0)

        self.run_with(self.answer_ok, check)

    def test_stale_node_refuses_unless_the_service_serves_stale(self):
        async def refuse(cluster, port):
            announce(cluster.owner, port)
            cluster.membership.fresh = False
            done = await cluster.call(make_exchange())
            self.assertEqual(done.headers[b"bendwind-reason"], b"stale-configuration")

        async def serve(cluster, port):
            announce(cluster.owner, port)
            cluster.membership.fresh = False
            self.assertEqual((await cluster.call(make_exchange())).status, 200)

        self.run_with(self.answer_ok, refuse)
        service = Service("svc", ("*",), on_stale=StaleAction.SERVE)
        self.run_with(self.answer_ok, serve, service=service)

    def test_service_is_unknown_only_to_a_node_that_is_fresh(self):
        # Nodes that had just restarted answered 404 for every service.
        async def check(cluster, port):
            cluster.membership.services.clear()
            done = await cluster.call(make_exchange())
            self.assertEqual(done.status, 404)
            cluster.membership.fresh = False
            done = await cluster.call(make_exchange())
            self.assertEqual(done.headers[b"bendwind-outcome"], b"not-run")

        self.run_with(self.answer_ok, check)

    def test_call_right_after_the_start_waits_for_the_configuration(self):
        async def check(cluster, port):
            announce(cluster.owner, port)
            services = dict(cluster.membership.services)
            cluster.membership.services.clear()
            cluster.membership.view.confirmed_at = None
            exchange = make_exchange()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.call, exchange)
                await trio.testing.wait_all_tasks_blocked()
                cluster.membership.services.update(services)
                cluster.membership.view.confirmed_at = trio.current_time()
            self.assertEqual(exchange.status, 200)

        self.run_with(self.answer_ok, check)

    def test_bodies_over_the_limit_or_the_budget_are_refused_and_freed(self):
        async def check(cluster, port):
            announce(cluster.owner, port)
            done = await cluster.call(make_exchange(POST, b"x" * 2000))
            self.assertEqual(done.status, 413)
            cluster.intake.budget.limit = 500
            done = await cluster.call(make_exchange(POST, b"x" * 900))
            self.assertEqual(done.headers[b"bendwind-reason"], b"overloaded")
            self.assertEqual((cluster.intake.budget.used, self.runs), (0, 0))

        service = Service("svc", ("*",), limits=Limits(body_bytes=1000))
        self.run_with(self.answer_ok, check, service=service)

    def test_busy_service_leaves_others_their_share(self):
        go_on = trio.Event()

        async def wait(stream, data):
            await go_on.wait()
            await stream.send_all(OK)

        async def check(cluster, port):
            quiet = Service("quiet", ("*",))
            cluster.membership.services["quiet"] = quiet
            cluster.entry.find_choice(quiet)
            announce(cluster.owner, port)
            async with trio.open_nursery() as nursery:
                for _ in range(80):
                    nursery.start_soon(cluster.call, make_exchange())
                await trio.testing.wait_all_tasks_blocked()
                self.assertLess(cluster.entry.share.in_flight["svc"], 64)
                done = await cluster.call(make_exchange(bendwind_service="quiet"))
                self.assertEqual(done.headers[b"bendwind-reason"], b"no-upstream")
                go_on.set()
            self.assertEqual(set(cluster.entry.share.in_flight.values()), {0})

        self.run_with(wait, check)

    def test_probes_bring_the_load_of_an_upstream_nobody_called_lately(self):
        async def check(cluster, port):
            owner = cluster.add_owner("other")
            announce(owner, port)
            await cluster.call(make_exchange())
            owner_state = cluster.entry.choices["svc"]
            view = owner_state.table.upstreams["svc-1"]
            probes = ProbeTask(cluster.entry, cluster.owner, ProbeBudget(20, 4000))
            cluster.hub.reports = probes.receive
            cluster.hub.dialed = cluster.hub.links
            view.reported_at = view.probed_at = -10.0
            probes.probe_all(trio.current_time())
            self.assertEqual((probes.sent, owner.probes_answered), (1, 1))
            self.assertGreater(view.reported_at, 0.0)
            probes.probe_all(trio.current_time())
            self.assertEqual(probes.sent, 1)

        self.run_with(self.answer_ok, check)

    def test_drained_owner_finishes_what_it_has_and_refuses_the_rest(self):
        go_on = trio.Event()

        async def wait(stream, data):
            await go_on.wait()
            await stream.send_all(OK)

        async def check(cluster, port):
            announce(cluster.owner, port)
            first = make_exchange(POST, b"x")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.call, first)
                while not self.runs:
                    await trio.sleep(0.001)
                cluster.owner.register.drain()
                second = await cluster.call(make_exchange(POST, b"y"))
                self.assertFalse(cluster.owner.is_idle())
                go_on.set()
            self.assertEqual((first.status, first.body), (200, b"ok"))
            self.assertEqual(second.headers[b"bendwind-outcome"], b"not-run")
            self.assertEqual((self.runs, cluster.owner.is_idle()), (1, True))

        self.run_with(wait, check)
