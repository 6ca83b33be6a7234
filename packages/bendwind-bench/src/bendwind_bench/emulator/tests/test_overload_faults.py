"""Test which requests are served under lasting overload while faults occur."""

import statistics
import unittest

from msgspec.structs import replace

from bendwind_bench.emulator.scenario import Fault, FaultKind, load_scenario
from bendwind_bench.emulator.world import run_scenario

# Guaranteed served share of each route and customer, relative to the served share of all requests.
MIN_RELATIVE_SERVED = 0.25
MAX_RANK_INVERSION = 0.05
# With fewer requests the served share of a customer is not meaningful.
MIN_REQUESTS = 20
SEEDS = range(1, 6)
# Ordered by urgency, most urgent first.
ROUTES = ("check", "deposit", "history")


def find_lowest_served_share(figures, parts):
    """Return the lowest served share of the parts, relative to that of all requests."""
    served = [part["served"] for part in parts.values() if part["requests"] >= MIN_REQUESTS]
    return min(served) / (figures.in_time + figures.late)


class OverloadFaultsTest(unittest.TestCase):
    def run_with_faults(self, *faults, seed=1):
        scenario = load_scenario("lasting-overload").ok
        return run_scenario(replace(scenario, seconds=10.0, faults=faults), seed)

    def check_fairness(self, *faults):
        runs = [self.run_with_faults(*faults, seed=seed) for seed in SEEDS]
        for figures in runs:
            self.assertGreater(
                find_lowest_served_share(figures, figures.routes), MIN_RELATIVE_SERVED
            )
            self.assertGreater(
                find_lowest_served_share(figures, figures.customers), MIN_RELATIVE_SERVED
            )
        # A run has only about 100 deposits, so the error of their share is about 3 %.
        served = [statistics.mean(run.routes[route]["served"] for run in runs) for route in ROUTES]
        for urgent, other in zip(served, served[1:], strict=False):
            self.assertLess(other, urgent + MAX_RANK_INVERSION)
        in_time = [
            statistics.mean(run.routes[route]["in-time"] for run in runs) for route in ROUTES
        ]
        self.assertEqual(in_time, sorted(in_time, reverse=True))

    def test_restarted_nodes_without_state_and_lost_queues(self):
        self.check_fairness(Fault(kind=FaultKind.KILL_NODES, at=3.0, share=0.25))

    def test_upstreams_without_load_reports(self):
        self.check_fairness(Fault(kind=FaultKind.SILENT_REPORTS, at=2.0, share=0.5))

    def test_suspended_nodes_with_outdated_state(self):
        self.check_fairness(Fault(kind=FaultKind.SUSPEND, at=3.0, for_s=1.0, share=0.25))

    def test_evacuated_data_centre(self):
        self.check_fairness(Fault(kind=FaultKind.EVACUATE, at=3.0, for_s=3.0, data_centre="north"))


if __name__ == "__main__":
    unittest.main()
