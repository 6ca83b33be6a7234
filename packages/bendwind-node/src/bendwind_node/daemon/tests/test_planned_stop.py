import types
import unittest

import trio
import trio.testing

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls.request_account import Ending, RequestAccount
from bendwind_node.daemon.run import _stop
from bendwind_node.settings.tables import StopTable


class FakeRegister:
    """Note when the owner stops to take attempts, and hold one upstream."""

    def __init__(self):
        self.drained_at = None
        self.owned = {"u": None}
        self.has_left = False

    def drain(self):
        self.drained_at = trio.current_time()

    def left(self, name):
        self.has_left = True
        self.note_left()

    def note_left(self):
        pass


class FakeClaims:
    def __init__(self):
        self.entry = types.SimpleNamespace(settling=())

    async def hand_over(self):
        pass


class FakeHub:
    async def flush(self):
        pass


def make_daemon(register, accounts=()):
    owner = types.SimpleNamespace(register=register, is_idle=lambda: True)
    dispatcher = types.SimpleNamespace(
        owner=owner,
        entry=types.SimpleNamespace(runs={}),
        claims=FakeClaims(),
        control=None,
        hub=FakeHub(),
    )
    return types.SimpleNamespace(
        dispatcher=dispatcher,
        recorder=Recorder("a", lambda: 1, 10),
        settings=types.SimpleNamespace(stop=StopTable(notice_ms=2000, drain_ms=1000), callers=None),
        callers_done=trio.Event(),
        pages_done=trio.Event(),
        pages_closed=[],
        pages_scopes=[],
        accounts=accounts,
    )


class PlannedStopTest(unittest.TestCase):
    def test_request_without_an_attempt_is_waited_for(self):
        # What a stopping node counted were attempts. A request that had none yet, since its
        # body was being read, or that was being answered ended with the process, unanswered.
        account = RequestAccount("callers")
        account.open()
        daemon = make_daemon(FakeRegister(), [account])

        async def answer_late():
            await trio.sleep(2.5)
            account.close(None, Ending.ANSWERED)

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer_late)
                await _stop(daemon)
                self.assertEqual(account.in_hand, 0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_request_that_is_half_in_does_not_begin_after_the_last_look(self):
        # The rest of an operator's change came some milliseconds before the process ended: it
        # began, was given up at once, and its caller could not know what had become of it.
        register = FakeRegister()
        daemon = make_daemon(register)
        daemon.pages_closed.append(trio.Event())
        daemon.pages_scopes.append(trio.CancelScope())
        ended = []
        register.note_left = lambda: ended.append(daemon.pages_scopes[0].cancel_called)
        trio.run(_stop, daemon, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(ended, [True])

    def test_upstream_stays_in_use_until_callers_have_been_sent_elsewhere(self):
        # It was drained at once, and its service did without it for the whole notice.
        register = FakeRegister()
        daemon = make_daemon(register)

        async def main():
            started_at = trio.current_time()
            await _stop(daemon)
            self.assertEqual(register.drained_at - started_at, 2.0)
            self.assertTrue(daemon.callers_done.is_set() and register.has_left)
            self.assertEqual(daemon.recorder.counts[EventKind.PROCESS_STOPPING], 1)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
