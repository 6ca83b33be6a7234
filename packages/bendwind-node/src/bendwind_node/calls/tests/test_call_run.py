import unittest

import trio
import trio.testing

from bendwind_node.calls.call_run import CallRun


class TestCallRun(unittest.TestCase):
    def test_wait_without_timers_ends_at_the_given_time(self):
        # Guards against an error when no timer is set: the minimum of the times was then computed
        # from a single number instead of a tuple.
        async def main():
            run = CallRun(None, None, "GET", b"/", (), b"")
            until = trio.current_time() + 5.0
            await run.wait(until)
            self.assertGreaterEqual(trio.current_time(), until)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
