"""Replay a request that ends every upstream which runs it.

A request ended the upstream that ran it, and came again, with a new id, at another node. Nothing
connected it with what had become of it before, so that each node placed it as new, at whichever
upstream had just started: all upstreams of its service went down, and each that came back went down
again within two seconds. The log of one end shows the innocent beside it:

42.950 DISPATCH_FINISHED i-941efb0b20 unknown: upstream-reset (seven within 1 ms, nine ran)
42.977 DISPATCH_FINISHED i-941efb0b20 not-run: connect-failed

Fourteen upstreams ended under one request, and it had reached ten after the third.
"""

import unittest

from bendwind_bench.emulator import load_scenario, run_scenario

# What may still be sent once all nodes can know of three ends: to find out whether it is over.
MOST_REPEATS = 3


class CrashingRequestTest(unittest.TestCase):
    def test_request_under_which_three_upstreams_ended_reaches_few_more(self):
        figures = run_scenario(load_scenario("crashing-request").ok, 1)
        self.assertGreaterEqual(figures.crashed, 3)
        self.assertLessEqual(figures.crash_repeats, MOST_REPEATS)


if __name__ == "__main__":
    unittest.main()
