"""Test that a request that crashes each upstream which runs it is stopped.

The failure: a caller sends such a request again, with a new id, to another node. If the nodes do
not connect it with the earlier crashes, each sends it as a new request to the upstream that started
last. All upstreams of the service crash, and each crashes again within two seconds after a restart.
Each crash also cuts the harmless requests that run beside it, as the log of one crash shows:

42.950 DISPATCH_FINISHED i-941efb0b20 unknown: upstream-reset (seven within 1 ms, nine ran)
42.977 DISPATCH_FINISHED i-941efb0b20 not-run: connect-failed

Without the protection one request crashed fourteen upstreams, ten of them reached after the third.
"""

import unittest

import msgspec

from bendwind_bench.emulator import load_scenario, run_scenario
from bendwind_bench.emulator.scenario import Fault, FaultKind, change_scenario

# Trial runs allowed once all nodes can know of three ends; they test whether the fault is over.
MAX_REPEATS = 3


class CrashingRequestTest(unittest.TestCase):
    def test_request_that_ended_three_upstreams_reaches_few_more(self):
        figures = run_scenario(load_scenario("crashing-request").ok, 1)
        self.assertGreaterEqual(figures.crashed, 3)
        self.assertLessEqual(figures.crash_repeats, MAX_REPEATS)

    def run_with(self, *faults, base="calm", seconds=20.0, seed=1, changes=()):
        scenario = msgspec.structs.replace(load_scenario(base).ok, seconds=seconds, faults=faults)
        return run_scenario(change_scenario(scenario, changes).ok, seed)

    def test_request_at_ten_nodes_at_once_and_then_at_a_low_rate(self):
        figures = run_scenario(load_scenario("crashing-at-many").ok, 1)
        self.assertGreaterEqual(figures.crashed, 3)
        self.assertLessEqual(figures.crash_repeats, MAX_REPEATS)
        self.assertGreater(figures.in_time, 0.98)

    def test_two_crashing_requests_are_both_found_and_other_requests_are_served(self):
        for seed in (1, 2, 3):
            figures = run_scenario(load_scenario("crashing-two").ok, seed)
            self.assertLessEqual(figures.crash_repeats, MAX_REPEATS)
            self.assertLessEqual(figures.crashed, 16)
            self.assertGreater(figures.in_time, 0.9)
            self.assertLess(figures.wronged, 0.002)

    def test_service_of_two_upstreams_that_receive_the_request_after_each_restart(self):
        crashing = Fault(
            kind=FaultKind.CRASHING_REQUEST, at=2.0, for_s=40.0, x=20.0, service="repositorio"
        )
        figures = self.run_with(crashing, seconds=45.0)
        self.assertLessEqual(figures.crash_repeats, MAX_REPEATS)
        self.assertGreater(figures.windows["20"]["in-time"], 0.98)

    def test_nodes_of_the_first_ended_upstreams_are_killed_meanwhile(self):
        crashing = Fault(kind=FaultKind.CRASHING_REQUEST, at=2.0, for_s=15.0, x=2.0)
        killed = [
            Fault(kind=FaultKind.KILL_NODES, at=at, service="catastro", share=0.34)
            for at in (2.3, 3.3, 4.3)
        ]
        for seed in (1, 2, 3):
            figures = self.run_with(crashing, *killed, seed=seed)
            self.assertLessEqual(figures.crash_repeats, MAX_REPEATS)

    def test_power_loss_quarantines_no_request_although_few_targets_are_requested(self):
        lost = Fault(kind=FaultKind.POWER_LOSS, at=3.0, for_s=1.0, data_centre="north")
        few = ("routes.lookup.targets=3", "routes.read.targets=3", "routes.booking.targets=3")
        figures = self.run_with(lost, changes=few)
        self.assertEqual(figures.wronged, 0.0)
        self.assertGreater(figures.windows["8"]["in-time"], 0.97)

    def test_end_of_many_upstreams_at_once_quarantines_hardly_any_request(self):
        """Nodes stay up and observe that their upstreams end under the same few requests."""
        ended = [
            Fault(kind=FaultKind.CRASH, at=at, for_s=1.0, service="catastro", share=0.5)
            for at in (3.0, 6.0, 9.0)
        ]
        few = ("routes.lookup.targets=3",)
        for changes in (few, ()):
            figures = self.run_with(*ended, changes=changes)
            self.assertLess(figures.wronged, 0.002)


if __name__ == "__main__":
    unittest.main()
