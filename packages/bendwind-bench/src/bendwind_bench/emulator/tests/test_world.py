import unittest
from unittest import mock

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bendwind_bench.emulator import load_scenario, run_scenario
from bendwind_bench.emulator.entry_side import EntrySide, Refused
from bendwind_bench.emulator.owner_side import OwnerSide
from bendwind_bench.emulator.scenario import Fault, FaultKind, change_scenario, parse_scenario
from bendwind_bench.emulator.tests.test_scenario import HEAD, ROUTE, SERVICE
from bendwind_bench.emulator.upstream import SHED
from bendwind_bench.emulator.world import World
from bendwind_core.world import Repeat

SMALL = parse_scenario(HEAD + SERVICE + ROUTE, "x").ok
WARM_UP = b"warm_up = { seconds = 2.0, per_second = 4.0 }\n"


def shorten(name, seconds=4.0, **changes):
    scenario = load_scenario(name).ok
    return msgspec.structs.replace(scenario, seconds=seconds, **changes)


class WorldTest(unittest.TestCase):
    def test_same_seed_gives_equal_figures_and_another_seed_differs(self):
        scenario = shorten("one-slow", 2.0)
        first, again, other = (run_scenario(scenario, seed) for seed in (7, 7, 8))
        self.assertEqual(msgspec.json.encode(first), msgspec.json.encode(again))
        self.assertNotEqual(first, other)

    def test_calm_load_is_answered_in_time(self):
        figures = run_scenario(shorten("calm"), 1)
        self.assertGreater(figures.in_time, 0.97)
        self.assertEqual(figures.fell_over, 0)

    def test_service_recovers_from_power_loss_without_overload_crashes(self):
        """Compare the restart after a power loss with and without the bound on cold upstreams."""
        faults = tuple(
            msgspec.structs.replace(fault, at=1.0) if fault.kind is FaultKind.POWER_LOSS else fault
            for fault in load_scenario("power-loss").ok.faults
        )
        scenario = shorten("power-loss", 8.0, faults=faults)
        unbounded_scenario = change_scenario(scenario, ("policy.spares_cold=false",)).ok
        with_bound, without_bound = run_scenario(scenario, 1), run_scenario(unbounded_scenario, 1)
        self.assertEqual(with_bound.fell_over, 0)
        self.assertGreater(without_bound.fell_over, 5)
        self.assertGreater(with_bound.windows["6"]["in-time"], 0.95)
        self.assertLess(without_bound.windows["6"]["in-time"], 0.9)

    def test_evacuation_and_its_end_cause_no_overload_crashes(self):
        scenario = shorten("evacuation", 7.0)
        world = World(scenario, 1)
        figures = world.run()
        self.assertEqual(figures.fell_over, 0)
        self.assertGreater(figures.in_time, 0.95)

    def test_suspended_nodes_serve_normally_after_they_resume(self):
        faults = (Fault(kind=FaultKind.SUSPEND, at=1.0, for_s=4.0, share=0.2),)
        figures = run_scenario(shorten("calm", 9.0, faults=faults), 1)
        self.assertLess(figures.windows["4"]["in-time"], 0.9)
        self.assertGreater(figures.windows["8"]["in-time"], 0.97)

    def test_refused_calls_and_attempts_are_counted(self):
        figures = run_scenario(
            shorten(
                "at-once", 6.0, faults=(Fault(kind=FaultKind.BURST, at=0.0, for_s=9.0, x=4.0),)
            ),
            1,
        )
        self.assertGreater(figures.refused, 0.1)
        self.assertGreater(figures.sent_back, 0.5)
        total = figures.in_time + figures.late + figures.refused + figures.failed
        self.assertAlmostEqual(total, 1.0, places=4)


kinds = st.sampled_from(list(FaultKind))
faults = st.lists(
    st.builds(
        Fault,
        kind=kinds,
        at=st.sampled_from([0.0, 0.3, 0.9]),
        for_s=st.sampled_from([0.2, 1.0]),
        share=st.sampled_from([0.3, 1.0]),
        x=st.sampled_from([0.5, 2.0, 6.0]),
    ),
    max_size=3,
)


class InvariantsTest(unittest.TestCase):
    """Test invariants on small random scenarios."""

    @settings(max_examples=20)
    @given(faults, st.integers(1, 6), st.sampled_from([20.0, 120.0]), st.integers(0, 1000))
    def test_slot_limit_cold_bound_and_single_execution_hold(
        self, chosen_faults, slots, rate, seed
    ):
        data = (HEAD + SERVICE + WARM_UP + ROUTE).replace(b"seconds = 2.0\n", b"seconds = 1.5\n", 1)
        scenario = parse_scenario(data, "x").ok
        changes = (f"services.a.slots={slots}", f"routes.r.per_second={rate}")
        scenario = change_scenario(scenario, changes).ok
        routes = tuple(
            msgspec.structs.replace(route, repeat=Repeat.NEVER) for route in scenario.routes
        )
        world = World(
            msgspec.structs.replace(scenario, faults=tuple(chosen_faults), routes=routes), seed
        )
        with RunRecorder() as recorder:
            world.run()
        for node in world.nodes.values():
            self.assertLessEqual(node.upstream.max_running, slots)
            self.assertEqual(node.upstream.fell_over, 0)
        recorder.check(self)


class RunRecorder:
    """Record which attempts ran and the outcome that each call reported, over a whole run."""

    def __init__(self):
        self.ran = set()
        self.ended = []

    def __enter__(self):
        connect, handle_reply, finish = (
            OwnerSide._connect,
            OwnerSide._handle_reply,
            EntrySide._finish_call,
        )

        def record_connect(owner, hand_over, expires_at):
            was_sent = hand_over.attempt in owner.owner_state.running and not owner.upstream.is_down
            if was_sent:
                self.ran.add(hand_over.attempt)
            connect(owner, hand_over, expires_at)

        def record_reply(owner, attempt, status, sent_at):
            if status == SHED:
                self.ran.discard(attempt)
            handle_reply(owner, attempt, status, sent_at)

        def record_end(entry, run, outcome):
            self.ended.append((run.call, outcome))
            finish(entry, run, outcome)

        self.patches = [
            mock.patch.object(OwnerSide, "_connect", record_connect),
            mock.patch.object(OwnerSide, "_handle_reply", record_reply),
            mock.patch.object(EntrySide, "_finish_call", record_end),
        ]
        for patch in self.patches:
            patch.start()
        return self

    def __exit__(self, *_):
        for patch in self.patches:
            patch.stop()

    def check(self, test):
        for call, outcome in self.ended:
            ran = [attempt.id for attempt in call.attempts if attempt.id in self.ran]
            test.assertLessEqual(len(ran), 1, "ran twice")
            if isinstance(outcome, Refused):
                test.assertEqual(ran, [], "refused as not run, and ran")


if __name__ == "__main__":
    unittest.main()
