import unittest

import trio
import trio.testing

from bendwind_node.calls.call_run import CallRun


class TestCallRun(unittest.TestCase):
    def test_wait_without_timers_ends_at_the_given_time(self):
        # With no timer set, the earliest of the times was asked of a single number.
        async def main():
            run = CallRun(None, None, "GET", b"/", (), b"")
            until = trio.current_time() + 5.0
            await run.wait(until)
            self.assertGreaterEqual(trio.current_time(), until)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
