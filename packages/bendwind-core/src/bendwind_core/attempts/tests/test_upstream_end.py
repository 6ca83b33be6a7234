import unittest

from bendwind_core.attempts import AttemptId, CutReason, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.upstream_end import END_SETTLING_TIME, UNANSWERED_RETENTION
from bendwind_core.world import Repeat, UpstreamState

ANNOUNCED = ov.UpstreamAnnounced(8, 8, UpstreamState.READY)


class UpstreamEndTest(unittest.TestCase):
    """Test an owner whose upstream can run eight attempts at a time."""

    def setUp(self):
        self.now = 0.0
        self.owner_state = owner.create_owner_state("u", 1, 16)
        self.step(ANNOUNCED)

    def step(self, event):
        return owner.step(self.owner_state, event, self.now)

    def run_attempts(self, *sequences):
        for sequence in sequences:
            path = f"/{sequence}".encode()
            attempt = AttemptId("e", 1, sequence)
            message = HandOver(attempt, 1, "s", "u", "GET", path, (), 1000.0, Repeat.NEVER, 1)
            self.step(ov.HandOverArrived(message, 1))

    def reset(self, sequence, reason=CutReason.UPSTREAM_RESET):
        return self.step(ov.DispatchUnknown(AttemptId("e", 1, sequence), reason))

    def refuse_connection(self, sequence, *, is_timed_out=False):
        self.run_attempts(sequence)
        failed = NotRunReason.CONNECT_FAILED
        return self.step(ov.DispatchNotRun(AttemptId("e", 1, sequence), failed, is_timed_out))

    def list_unanswered(self, effects):
        ends = [effect for effect in effects if isinstance(effect, ov.UpstreamEnded)]
        return [ended.attempt.sequence for end in ends for ended in end.unanswered]

    def test_refused_connection_reports_unanswered_attempts(self):
        self.run_attempts(1, 2)
        self.reset(1)
        self.reset(2, CutReason.UPSTREAM_TIMEOUT)
        self.assertEqual(self.list_unanswered(self.refuse_connection(3)), [1, 2])

    def test_reset_shortly_after_an_end_belongs_to_the_same_end(self):
        self.run_attempts(1, 2)
        self.reset(1)
        self.refuse_connection(3)
        self.now = END_SETTLING_TIME / 2
        self.assertEqual(self.list_unanswered(self.reset(2)), [2])

    def test_liveness_excludes_attempts_that_failed_before_it(self):
        self.run_attempts(1, 2, 3)
        self.reset(1)
        self.now = 2 * END_SETTLING_TIME
        self.step(ov.DispatchHead(AttemptId("e", 1, 2), 200, 5.0))
        self.reset(3)
        self.assertEqual(self.list_unanswered(self.refuse_connection(4)), [3])

    def test_attempts_unanswered_long_before_an_end_are_left_out(self):
        self.run_attempts(1, 2)
        self.reset(1, CutReason.CANCELLED)
        self.now = UNANSWERED_RETENTION + 1.0
        self.reset(2)
        self.assertEqual(self.list_unanswered(self.refuse_connection(3)), [2])

    def test_check_result_of_a_gone_upstream_is_ignored(self):
        self.step(ov.UpstreamLost())
        self.assertEqual(self.step(ov.UpstreamChecked(is_refused=True)), [])

    def test_upstream_that_resets_each_request_becomes_unreachable(self):
        # Such an upstream was sent 388 requests in ten seconds; each failed within milliseconds.
        effects = []
        for sequence in range(1, 4):
            self.run_attempts(sequence)
            self.now += 0.005
            effects = self.reset(sequence)
            self.step(ov.UpstreamChecked(is_refused=False))
        self.assertIn(ov.UpstreamUnreachable(), effects)
        self.step(ov.UpstreamReachable())
        self.run_attempts(4)
        self.now += 0.005
        self.assertNotIn(ov.UpstreamUnreachable(), self.reset(4))

    def test_simultaneous_resets_count_once(self):
        self.run_attempts(1, 2, 3, 4)
        self.now += 0.005
        effects = [effect for sequence in (1, 2, 3, 4) for effect in self.reset(sequence)]
        self.assertNotIn(ov.UpstreamUnreachable(), effects)

    def test_upstream_that_answers_between_resets_stays_reachable(self):
        for sequence in range(1, 9, 2):
            self.run_attempts(sequence, sequence + 1)
            self.now += 0.005
            self.step(ov.DispatchHead(AttemptId("e", 1, sequence), 200, 5.0))
            self.step(ov.DispatchDone(AttemptId("e", 1, sequence)))
            self.assertNotIn(ov.UpstreamUnreachable(), self.reset(sequence + 1))

    def test_connection_timeout_is_not_an_end(self):
        self.run_attempts(1)
        self.reset(1)
        self.assertEqual(self.list_unanswered(self.refuse_connection(2, is_timed_out=True)), [])

    def test_next_run_reports_the_end_of_the_previous_run_once(self):
        self.run_attempts(1, 2)
        self.reset(1)
        self.assertEqual(self.list_unanswered(self.step(ov.UpstreamRestarted())), [1, 2])
        self.assertEqual(self.list_unanswered(self.reset(2, CutReason.CANCELLED)), [])
        self.assertEqual(self.list_unanswered(self.step(ov.UpstreamRestarted())), [])

    def test_announced_departure_is_not_an_end(self):
        self.run_attempts(1)
        self.reset(1)
        self.assertEqual(self.list_unanswered(self.step(ov.UpstreamLost())), [])

    def test_replacement_by_another_upstream_reports_an_end(self):
        self.run_attempts(1)
        self.assertEqual(self.list_unanswered(self.step(ov.UpstreamLost(is_replaced=True))), [1])


if __name__ == "__main__":
    unittest.main()
