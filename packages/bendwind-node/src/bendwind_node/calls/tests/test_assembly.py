"""Test that the time in which a body arrives in parts is deducted from the attempt's time."""

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
    """Accept tasks without running them."""

    def start_soon(self, task, *arguments):
        pass


class TestAssembly(unittest.TestCase):
    def run_check(self, check):
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

    def receive_first_part(self):
        parts = (ATTEMPT, 1, "svc", "svc-1", "POST", b"/", (), REMAINING_MS, Repeat.NEVER, 1)
        message = HandOver(*parts, body=b"a", more=True, target_ms=TARGET_MS)
        self.owner.receive(self.link, message)

    def receive_last_part(self):
        self.owner.receive(self.link, BodyPart(ATTEMPT, 1, b"b", False))

    def check_time(self, remaining_ms, target_ms):
        running = self.owned.owner_state.running[ATTEMPT]
        self.assertEqual(running.hand_over.body, b"ab")
        self.assertAlmostEqual(running.hand_over.remaining_ms, remaining_ms)
        self.assertAlmostEqual(running.hand_over.target_ms, target_ms)
        left = self.owned.scopes[ATTEMPT].deadline - trio.current_time()
        self.assertAlmostEqual(left * MILLISECONDS_PER_SECOND, remaining_ms)

    def test_transfer_time_of_a_body_is_deducted(self):
        def check():
            self.receive_first_part()
            self.clock.jump(0.75)
            self.receive_last_part()
            self.check_time(1250.0, 250.0)

        self.run_check(check)

    def test_body_completed_after_the_deadline_is_not_run(self):
        def check():
            self.receive_first_part()
            self.clock.jump(2.5)
            self.receive_last_part()
            self.assertEqual(self.owned.owner_state.running, {})
            [reply] = self.replies
            self.assertIsInstance(reply, NotRun)
            self.assertEqual(reply.reason, NotRunReason.DEADLINE)

        self.run_check(check)

    def test_process_pause_during_a_body_is_deducted_once(self):
        def check():
            self.owner.pause_detector.tick(trio.current_time())
            self.receive_first_part()
            self.clock.jump(1.25)
            self.receive_last_part()
            self.check_time(750.0, 0.0)

        self.run_check(check)

    def test_process_pause_before_the_first_part_is_deducted(self):
        def check():
            self.owner.pause_detector.tick(trio.current_time())
            self.clock.jump(1.25)
            self.receive_first_part()
            self.clock.jump(0.25)
            self.receive_last_part()
            self.check_time(500.0, 0.0)

        self.run_check(check)


if __name__ == "__main__":
    unittest.main()
