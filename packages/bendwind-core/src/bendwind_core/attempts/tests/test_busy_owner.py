"""Test how an owner handles attempts that may not wait."""

import unittest

from bendwind_core.attempts import HandOver, NotRunReason
from bendwind_core.attempts import owner_events as ev
from bendwind_core.attempts.messages import AttemptId
from bendwind_core.attempts.owner import create_owner_state, load_sample, step
from bendwind_core.world import Repeat, UpstreamState


class NoWaitAttemptTest(unittest.TestCase):
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

    def test_refused_as_busy_with_wait_time_when_no_slot_is_free(self):
        self.report(1.0, 0.99)
        for _ in range(2):
            self.assertIsInstance(self.hand_over(1.0)[0], ev.Dispatch)
        [refusal] = self.hand_over(1.1)
        self.assertEqual(refusal.reason, NotRunReason.BUSY)
        # Without an answer yet, an attempt is expected to take 0.3 of its latency objective.
        self.assertAlmostEqual(refusal.load.wait_ms, 0.3 * 955.0 - 100.0)
        self.assertAlmostEqual(refusal.wait_ms, refusal.load.wait_ms)

    def test_slow_report_refuses_held_attempt_at_once(self):
        self.report(1.0, 0.5)
        [query] = self.hand_over(1.0)
        self.assertIsInstance(query, ev.QueryLoad)
        self.assertEqual(self.list_reasons(self.report(5.0, 1.001)), [NotRunReason.BUSY])
        self.assertFalse(self.owner_state.waiting)

    def test_usual_pace_report_starts_held_attempt(self):
        self.report(1.0, 0.5)
        self.hand_over(1.0)
        self.assertIsInstance(self.report(1.0, 1.001)[0], ev.Dispatch)

    def test_attempt_that_may_wait_is_held_until_slow_phase_ends(self):
        self.report(1.0, 0.98)
        self.report(5.0, 1.0)
        self.assertEqual(self.list_reasons(self.hand_over(1.01, may_wait=True)), [])
        self.assertEqual(len(self.owner_state.waiting), 1)

    def test_refusal_in_slow_phase_queries_load_for_next_attempt(self):
        self.report(1.0, 0.98)
        self.report(5.0, 1.0)
        self.assertEqual(self.list_reasons(self.hand_over(1.01)), [NotRunReason.BUSY])
        effects = self.hand_over(1.05)
        self.assertIn(ev.QueryLoad(), effects)
        self.report(1.0, 1.051)
        self.assertIsInstance(self.hand_over(1.052)[0], ev.Dispatch)

    def test_free_upstream_reports_no_wait(self):
        self.report(1.0, 1.0)
        self.assertEqual(load_sample(self.owner_state, 1.0).wait_ms, 0.0)


if __name__ == "__main__":
    unittest.main()
