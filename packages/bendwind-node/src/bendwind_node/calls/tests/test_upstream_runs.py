"""Follow upstreams that start again under their names, refuse connections or are evacuated."""

import unittest

import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.admission import is_cold
from bendwind_core.attempts import owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.owner_state import is_accepting
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, UpstreamState, WarmUpRule
from bendwind_node.calls.dialect import BENDWIND_DIALECT
from bendwind_node.calls.owned_upstream import Announcement
from bendwind_node.calls.tests.fakes import CallBench, make_exchange
from bendwind_node.calls.tests.scripted_server import read_request
from bendwind_node.calls.tests.test_dialect import DIALECT
from bendwind_node.calls.upstream_register import MAX_OWNED_UPSTREAMS, UpstreamRegister

OWN = Instance("n1", "dc1", "127.0.0.1", 1, 5)
RULE = WarmUpRule(3.0, 4.0)
READY, DRAINING, GONE = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.GONE


class Nursery:
    """Take tasks without running them."""

    def __init__(self):
        self.started = []

    def start_soon(self, task, *arguments):
        self.started.append((task, arguments))


class Register:
    """Drive a register without sockets; `seen` are the announcements to the voters."""

    def __init__(self):
        self.seen = []
        self.recorder = Recorder("n1", lambda: 0, 1000)
        self.register = UpstreamRegister(
            OWN, self.recorder, Nursery(), 6000.0, self.seen.append, BENDWIND_DIALECT
        )
        self.register.find_warm_up = lambda service: RULE
        self.register.feed = self.feed

    def feed(self, owned, event):
        owner.step(owned.owner_state, event, trio.current_time())

    def announce(self, name="u1", sequence=1, born_ms=0, state=READY, service="s", port=80):
        news = Announcement(name, service, "127.0.0.1", port, 4, 4, state, sequence, 0.0, born_ms)
        return self.register.announced(news)

    def state(self, name="u1"):
        return self.register.owned[name].upstream.state

    def kinds(self):
        return [event.kind for event in self.recorder.events]

    def say_leaving(self, name="u1"):
        self.register.hear_leaving(self.register.owned[name])


def in_trio(test):
    def run(self, *arguments):
        async def main():
            test(self, *arguments)

        trio.run(main)

    return run


class RunsTest(unittest.TestCase):
    @in_trio
    def test_upstream_that_starts_again_with_its_numbers_anew_is_used(self):
        one = Register()
        for sequence in (7, 8):
            one.announce(sequence=sequence, born_ms=1000)
        one.register.left("u1")
        one.announce(sequence=1, born_ms=2000)
        self.assertIs(one.state(), READY)
        self.assertEqual(one.register.owned["u1"].upstream.born_ms, 2000)
        self.assertIn(EventKind.UPSTREAM_RESTARTED, one.kinds())

    @in_trio
    def test_words_of_an_earlier_run_bind_only_it(self):
        one = Register()
        for sequence in (1, 2):
            one.announce(sequence=sequence, born_ms=2000)
        one.announce(sequence=9, born_ms=1000, state=DRAINING)
        one.register.left("u1", 1000)
        self.assertIs(one.state(), READY)
        one.register.left("u1", 2000)
        self.assertIs(one.state(), GONE)
        one.announce(sequence=3, born_ms=2000)
        self.assertIs(one.state(), GONE)

    @in_trio
    def test_late_announcement_of_a_run_that_left_another_life_of_the_process_changes_nothing(self):
        one = Register()
        one.register.left("u1", 2000)
        one.announce(sequence=5, born_ms=2000)
        one.announce(sequence=6, born_ms=1000)
        self.assertNotIn("u1", one.register.owned)
        one.announce(sequence=1, born_ms=3000)
        self.assertIn("u1", one.register.owned)

    @in_trio
    def test_next_run_is_cold_and_knows_no_link_to_the_earlier_pool(self):
        one = Register()
        for sequence in (1, 2):
            one.announce(sequence=sequence, born_ms=1000)
        owned = one.register.owned["u1"]
        former = owned.pool
        one.announce(sequence=1, born_ms=2000)
        self.assertIsNot(owned.pool, former)
        self.assertIn((former.aclose, ()), one.register.nursery.started)
        self.assertTrue(is_cold(owned.owner_state.warm_up, trio.current_time()))

    @in_trio
    def test_next_run_takes_no_address_away_unproven(self):
        one = Register()
        for sequence in (1, 2):
            one.announce("u1", sequence, 1000)
        for sequence in (1, 2):
            one.announce("u2", sequence, 1500)
        one.register.dialect = DIALECT
        one.register.find_health_path = lambda service: "/well"
        self.assertEqual((one.state("u1"), one.state("u2")), (GONE, READY))
        one.announce("u1", 1, 2000)
        self.assertEqual((one.state("u1"), one.state("u2")), (GONE, READY))

    @in_trio
    def test_announcement_for_another_service_is_not_the_upstreams_own(self):
        one = Register()
        for sequence in (1, 2):
            one.announce(sequence=sequence)
        one.announce(sequence=3, service="other")
        self.assertEqual(one.register.owned["u1"].upstream.service, "s")
        self.assertIn(EventKind.ANNOUNCEMENT_REFUSED, one.kinds())


words = st.tuples(
    st.sampled_from(["u1", "u2"]),
    st.sampled_from([1, 2, 3]),
    st.sampled_from(["ready", "ready", "draining", "left"]),
)


class WordsTest(unittest.TestCase):
    @settings(suppress_health_check=[HealthCheck.too_slow])
    @given(st.lists(words, max_size=30), st.randoms(use_true_random=False))
    def test_words_in_any_order_leave_what_the_newest_run_said_last(self, said, rng):
        """Delay, repeat and reorder what each run says of itself."""
        numbered = []
        counts = {}
        has_left = set()
        for name, run, word in said:
            if (name, run) in has_left:
                continue
            counts[name, run] = counts.get((name, run), 0) + 1
            numbered.append((name, run, counts[name, run], word))
            if word == "left":
                has_left.add((name, run))
        heard = [*numbered, *numbered]
        rng.shuffle(heard)
        trio.run(self.check, numbered, heard)

    async def check(self, numbered, heard):
        one = Register()
        for name, run, sequence, word in heard:
            if word == "left":
                one.register.left(name, 1000 * run)
            else:
                state = DRAINING if word == "draining" else READY
                port = 80 if name == "u1" else 81
                one.announce(name, sequence, 1000 * run, state, port=port)
        for name in {name for name, *_ in numbered}:
            newest = max(run for one_name, run, *_ in numbered if one_name == name)
            last = max(
                (sequence, word)
                for one_name, run, sequence, word in numbered
                if (one_name, run) == (name, newest)
            )[1]
            owned = one.register.owned.get(name)
            state = GONE if owned is None else owned.upstream.state
            # An upstream that said nothing but good-bye, or that was heard once, is not used.
            wanted = {"left": {GONE}, "draining": {DRAINING}, "ready": {READY, GONE}}[last]
            self.assertIn(state, wanted, (numbered, heard))
        self.assertLessEqual(len(one.register.owned), MAX_OWNED_UPSTREAMS)


class EvacuationTest(unittest.TestCase):
    @in_trio
    def test_evacuated_data_centre_gets_nothing_and_is_cold_when_it_is_taken_back(self):
        one = Register()
        for sequence in (1, 2):
            one.announce(sequence=sequence)
        owner_state = one.register.owned["u1"].owner_state
        one.feed(one.register.owned["u1"], ov.WarmUpReported(0.0, trio.current_time()))
        self.assertFalse(is_cold(owner_state.warm_up, trio.current_time()))
        one.register.hear_configuration(frozenset({"dc1"}))
        self.assertFalse(is_accepting(owner_state))
        one.announce(sequence=3)
        self.assertFalse(is_accepting(owner_state))
        one.register.hear_configuration(frozenset({"dc2"}))
        self.assertTrue(is_accepting(owner_state))
        self.assertTrue(is_cold(owner_state.warm_up, trio.current_time()))

    @in_trio
    def test_upstream_that_comes_during_an_evacuation_gets_nothing(self):
        one = Register()
        one.register.hear_configuration(frozenset({"dc1"}))
        for sequence in (1, 2):
            one.announce(sequence=sequence)
        self.assertFalse(is_accepting(one.register.owned["u1"].owner_state))


class RefusedConnectionsTest(unittest.TestCase):
    """Run the entry and owner nodes beside an upstream that comes and goes."""

    def test_upstream_that_refuses_connections_is_tried_aside_and_used_again(self):
        refused = []

        async def main():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    bench = CallBench(nursery)
                    register = bench.owner.register
                    port = await self.find_free_port()
                    register.announced(Announcement("u1", "svc", "127.0.0.1", port, 4, 4, READY, 0))
                    for _ in range(60):
                        done = await bench.call(make_exchange(b"GET", bendwind_service="svc"))
                        self.assertEqual(done.status, 503)
                        refused.append(done)
                    ends = [
                        event.detail
                        for event in bench.owner.recorder.events
                        if event.kind is EventKind.DISPATCH_FINISHED
                    ]
                    failures = sum("connect-failed" in detail for detail in ends)
                    self.assertLessEqual(failures, 2)
                    self.assertIs(register.owned["u1"].upstream.state, GONE)
                    await self.serve_again(bench, port)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def find_free_port(self):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        return port

    async def serve_again(self, bench, port):
        async def answer(stream):
            while await read_request(stream):
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

        async with trio.open_nursery() as nursery:
            await nursery.start(
                lambda task_status: trio.serve_tcp(
                    answer, port, host="127.0.0.1", task_status=task_status
                )
            )
            while bench.owner.register.owned["u1"].is_unreachable:
                await trio.sleep(0.02)
            bench.entry.refresh_upstreams("svc")
            done = await bench.call(make_exchange(b"GET", bendwind_service="svc"))
            self.assertEqual(done.status, 200)
            nursery.cancel_scope.cancel()


class LeavingTest(unittest.TestCase):
    @in_trio
    def test_upstream_that_said_it_leaves_is_not_taken_back_by_its_own_announcements(self):
        site = Register()
        site.announce(sequence=0)
        site.say_leaving()
        site.announce(sequence=0)
        self.assertIs(site.state(), DRAINING)

    @in_trio
    def test_one_that_is_not_numbered_begins_a_run_when_it_comes_back_after_it_has_left(self):
        site = Register()
        site.announce(sequence=0)
        site.say_leaving()
        told = site.seen[-1]
        site.register.left("u1")
        site.announce(sequence=0)
        self.assertIs(site.state(), READY)
        self.assertFalse(site.register.owned["u1"].owner_state.is_leaving)
        self.assertGreater(site.seen[-1].born_ms, told.born_ms)
        self.assertEqual(site.kinds().count(EventKind.UPSTREAM_LEAVING), 1)


if __name__ == "__main__":
    unittest.main()
