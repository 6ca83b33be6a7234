"""Check the time of attempts whose bodies come in parts: a body on a slow link takes of it."""

import unittest

import trio
import trio.testing

from bendwind_core.attempts import AttemptId, BodyPart, HandOver, NotRun, NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.world import Instance, Repeat
from bendwind_node.calls.tests.fakes import FakeLink, FakeMembership, announce, make_owner

ATTEMPT = AttemptId("e", 1, 1)
REMAINING_MS = 2000.0
TARGET_MS = 1000.0


class Nursery:
    """Take tasks without running them."""

    def start_soon(self, task, *arguments):
        pass


class TestAssembly(unittest.TestCase):
    def play(self, check):
        async def main():
            self.clock = trio.lowlevel.current_clock()
            self.owner = make_owner(Nursery(), "o", FakeMembership())
            announce(self.owner, 80)
            self.replies = []
            entry = Instance("e", "dc", "127.0.0.1", 1, 1)
            self.link = FakeLink(entry, 1, self.replies.append)
            self.owner.link_opened(self.link)
            self.owned = self.owner.register.owned["svc-1"]
            check()

        trio.run(main, clock=trio.testing.MockClock())

    def begin(self):
        parts = (ATTEMPT, 1, "svc", "svc-1", "POST", b"/", (), REMAINING_MS, Repeat.NEVER, 1)
        message = HandOver(*parts, body=b"a", more=True, target_ms=TARGET_MS)
        self.owner.receive(self.link, message)

    def end(self):
        self.owner.receive(self.link, BodyPart(ATTEMPT, 1, b"b", False))

    def check_time(self, remaining_ms, target_ms):
        running = self.owned.owner_state.running[ATTEMPT]
        self.assertEqual(running.hand_over.body, b"ab")
        self.assertAlmostEqual(running.hand_over.remaining_ms, remaining_ms)
        self.assertAlmostEqual(running.hand_over.target_ms, target_ms)
        left = self.owned.scopes[ATTEMPT].deadline - trio.current_time()
        self.assertAlmostEqual(left * MILLISECONDS_PER_SECOND, remaining_ms)

    def test_the_time_that_a_body_took_is_not_granted_again(self):
        def check():
            self.begin()
            self.clock.jump(0.75)
            self.end()
            self.check_time(1250.0, 250.0)

        self.play(check)

    def test_a_body_that_comes_after_its_time_runs_nowhere(self):
        def check():
            self.begin()
            self.clock.jump(2.5)
            self.end()
            self.assertEqual(self.owned.owner_state.running, {})
            [reply] = self.replies
            self.assertIsInstance(reply, NotRun)
            self.assertEqual(reply.reason, NotRunReason.DEADLINE)

        self.play(check)

    def test_a_pause_of_the_process_while_a_body_comes_counts_once(self):
        def check():
            self.owner.pause_detector.tick(trio.current_time())
            self.begin()
            self.clock.jump(1.25)
            self.end()
            self.check_time(750.0, 0.0)

        self.play(check)

    def test_a_pause_before_the_first_part_was_read_counts_too(self):
        def check():
            self.owner.pause_detector.tick(trio.current_time())
            self.clock.jump(1.25)
            self.begin()
            self.clock.jump(0.25)
            self.end()
            self.check_time(500.0, 0.0)

        self.play(check)


if __name__ == "__main__":
    unittest.main()
