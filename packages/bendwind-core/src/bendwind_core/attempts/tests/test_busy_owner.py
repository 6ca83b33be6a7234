"""Check what an owner does with attempts that may not wait."""

import unittest

from bendwind_core.attempts import HandOver, NotRunReason
from bendwind_core.attempts import owner_events as ev
from bendwind_core.attempts.messages import AttemptId
from bendwind_core.attempts.owner import create_owner_state, load_sample, step
from bendwind_core.world import Repeat, UpstreamState


class BusyOwnerTest(unittest.TestCase):
    def setUp(self):
        self.owner_state = create_owner_state("u", 1, 16)
        step(self.owner_state, ev.UpstreamAnnounced(2, 20, UpstreamState.READY), 0.0)
        self.sequence = 0

    def hand_over(self, now, *, may_wait=False):
        self.sequence += 1
        hand_over = HandOver(
            AttemptId("e", 1, self.sequence),
            1,
            "s",
            "u",
            "GET",
            b"/",
            (),
            3000.0,
            Repeat.NEVER,
            1,
            accept_if_slow=False,
            route="read",
            target_ms=955.0,
            may_wait=may_wait,
        )
        return step(self.owner_state, ev.HandOverArrived(hand_over, 1), now)

    def report(self, factor, now):
        return step(self.owner_state, ev.LoadReported(factor), now)

    def list_reasons(self, effects):
        return [effect.reason for effect in effects if isinstance(effect, ev.ReplyNotRun)]

    def test_without_a_slot_it_goes_back_with_the_time_until_there_is_one(self):
        self.report(1.0, 0.99)
        for _ in range(2):
            self.assertIsInstance(self.hand_over(1.0)[0], ev.Dispatch)
        [refusal] = self.hand_over(1.1)
        self.assertEqual(refusal.reason, NotRunReason.BUSY)
        # Without an answer yet, 0.3 of the objective is what it should take.
        self.assertAlmostEqual(refusal.load.wait_ms, 0.3 * 955.0 - 100.0)
        self.assertAlmostEqual(refusal.wait_ms, refusal.load.wait_ms)

    def test_a_slow_phase_told_while_it_is_held_sends_it_back_at_once(self):
        self.report(1.0, 0.5)
        [asked] = self.hand_over(1.0)
        self.assertIsInstance(asked, ev.AskLoad)
        self.assertEqual(self.list_reasons(self.report(5.0, 1.001)), [NotRunReason.BUSY])
        self.assertFalse(self.owner_state.waiting)

    def test_the_usual_pace_told_while_it_is_held_starts_it(self):
        self.report(1.0, 0.5)
        self.hand_over(1.0)
        self.assertIsInstance(self.report(1.0, 1.001)[0], ev.Dispatch)

    def test_what_may_wait_is_held_to_the_end_of_the_phase(self):
        self.report(1.0, 0.98)
        self.report(5.0, 1.0)
        self.assertEqual(self.list_reasons(self.hand_over(1.01, may_wait=True)), [])
        self.assertEqual(len(self.owner_state.waiting), 1)

    def test_a_refusal_as_slow_asks_anew_so_that_the_next_one_goes_by_it(self):
        self.report(1.0, 0.98)
        self.report(5.0, 1.0)
        self.assertEqual(self.list_reasons(self.hand_over(1.01)), [NotRunReason.BUSY])
        effects = self.hand_over(1.05)
        self.assertIn(ev.AskLoad(), effects)
        self.report(1.0, 1.051)
        self.assertIsInstance(self.hand_over(1.052)[0], ev.Dispatch)

    def test_a_free_upstream_tells_no_wait(self):
        self.report(1.0, 1.0)
        self.assertEqual(load_sample(self.owner_state, 1.0).wait_ms, 0.0)


if __name__ == "__main__":
    unittest.main()
