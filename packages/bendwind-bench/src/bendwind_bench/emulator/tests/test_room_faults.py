"""Test which requests are served under lasting overload while faults occur."""

import statistics
import unittest

from msgspec.structs import replace

from bendwind_bench.emulator.scenario import Fault, FaultKind, load_scenario
from bendwind_bench.emulator.world import run_scenario

# Guaranteed served share of each route and customer, relative to the served share of all requests.
PROMISED = 0.25
PUT_BEHIND = 0.05
# With fewer requests the served share of a customer is not meaningful.
LEAST_REQUESTS = 20
SEEDS = range(1, 6)
# Ordered by urgency, most urgent first.
KINDS = ("check", "deposit", "history")


def find_least(figures, parts):
    """Return the lowest served share of the parts, relative to that of all requests."""
    served = [part["served"] for part in parts.values() if part["requests"] >= LEAST_REQUESTS]
    return min(served) / (figures.in_time + figures.late)


class RoomFaultsTest(unittest.TestCase):
    def play(self, *faults, seed=1):
        scenario = load_scenario("lasting-overload").ok
        return run_scenario(replace(scenario, seconds=10.0, faults=faults), seed)

    def check(self, *faults):
        runs = [self.play(*faults, seed=seed) for seed in SEEDS]
        for figures in runs:
            self.assertGreater(find_least(figures, figures.routes), PROMISED)
            self.assertGreater(find_least(figures, figures.customers), PROMISED)
        # A run has only about 100 deposits, so the error of their share is about 3 %.
        served = [statistics.mean(run.routes[kind]["served"] for run in runs) for kind in KINDS]
        for urgent, other in zip(served, served[1:], strict=False):
            self.assertLess(other, urgent + PUT_BEHIND)
        in_time = [statistics.mean(run.routes[kind]["in-time"] for run in runs) for kind in KINDS]
        self.assertEqual(in_time, sorted(in_time, reverse=True))

    def test_nodes_that_join_with_nothing_known_and_queues_that_are_lost(self):
        self.check(Fault(kind=FaultKind.KILL_NODES, at=3.0, share=0.25))

    def test_upstreams_that_tell_nothing_of_their_pace(self):
        self.check(Fault(kind=FaultKind.SILENT_REPORTS, at=2.0, share=0.5))

    def test_nodes_that_stand_still_so_that_what_is_known_is_old(self):
        self.check(Fault(kind=FaultKind.SUSPEND, at=3.0, for_s=1.0, share=0.25))

    def test_evacuated_data_centre(self):
        self.check(Fault(kind=FaultKind.EVACUATE, at=3.0, for_s=3.0, data_centre="north"))


if __name__ == "__main__":
    unittest.main()
