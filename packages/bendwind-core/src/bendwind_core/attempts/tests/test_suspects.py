import unittest

from bendwind_core.attempts import AttemptId, CutReason, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.suspicion import (
    SuspectTable,
    UpstreamEndId,
    compute_signature,
    find_report,
    record_end,
)
from bendwind_core.suspicion.table import MAX_CONCURRENT_SUSPECTS
from bendwind_core.world import Repeat, UpstreamState


def compute_path_signature(path):
    return compute_signature("GET", path, (), b"")


class SuspectsTest(unittest.TestCase):
    """Test an owner that shares the suspect table of its node."""

    def setUp(self):
        self.now = 0.0
        self.sequence = 0
        self.table = SuspectTable("n1")
        self.owner_state = owner.create_owner_state("u", 1, 16, suspects=self.table)
        self.step(ov.UpstreamAnnounced(8, 8, UpstreamState.READY))

    def step(self, event):
        return owner.step(self.owner_state, event, self.now)

    def hand_over(self, path, suspicion=None):
        self.sequence += 1
        attempt = AttemptId("e", 1, self.sequence)
        message = HandOver(
            attempt, 1, "s", "u", "GET", path, (), 9000.0, Repeat.IDEMPOTENT, 1,
            suspicion=suspicion,
        )  # fmt: skip
        (effect,) = self.step(ov.HandOverArrived(message, 1))
        return attempt, effect

    def add_suspect(self, path, count, table=None):
        for number in range(count):
            name = UpstreamEndId("n2", 1, "v", number)
            record_end(table or self.table, compute_path_signature(path), "s", name, self.now)

    def end_upstream(self, *attempts):
        for attempt in attempts:
            self.step(ov.DispatchUnknown(attempt, CutReason.UPSTREAM_RESET))
        self.step(ov.UpstreamChecked(is_refused=True))
        self.step(ov.UpstreamReachable())

    def count_ends(self, path):
        suspect = self.table.suspects.get(compute_path_signature(path))
        return 0 if suspect is None else suspect.count

    def answer(self, attempt, status):
        self.step(ov.DispatchHead(attempt, status, 5.0))
        self.step(ov.DispatchDone(attempt))

    def test_lost_connections_trigger_one_upstream_check(self):
        first, second = self.hand_over(b"/a")[0], self.hand_over(b"/b")[0]
        effects = self.step(ov.DispatchUnknown(first, CutReason.UPSTREAM_RESET))
        self.assertIn(ov.CheckUpstream(), effects)
        effects = self.step(ov.DispatchUnknown(second, CutReason.UPSTREAM_RESET))
        self.assertNotIn(ov.CheckUpstream(), effects)
        effects = self.step(ov.UpstreamChecked(is_refused=True))
        self.assertIn(ov.UpstreamUnreachable(), effects)
        self.assertEqual((self.count_ends(b"/a"), self.count_ends(b"/b")), (1, 1))

    def test_upstream_that_accepts_connections_has_not_ended(self):
        attempt, _ = self.hand_over(b"/a")
        self.step(ov.DispatchUnknown(attempt, CutReason.UPSTREAM_RESET))
        self.step(ov.UpstreamChecked(is_refused=False))
        self.assertEqual(self.count_ends(b"/a"), 0)

    def test_request_is_quarantined_with_wait_time_after_three_ends(self):
        for _ in range(3):
            self.end_upstream(self.hand_over(b"/a")[0])
            self.now += 1.0
        _, refusal = self.hand_over(b"/a")
        self.assertIs(refusal.reason, NotRunReason.QUARANTINED)
        self.assertEqual(refusal.wait_ms, 4000.0)
        self.assertIsInstance(self.hand_over(b"/b")[1], ov.Dispatch)

    def test_suspicion_reported_by_entry_node_counts(self):
        elsewhere = SuspectTable("n2")
        self.add_suspect(b"/a", 3, elsewhere)
        report = find_report(elsewhere, compute_path_signature(b"/a"), self.now)
        _, refusal = self.hand_over(b"/a", report)
        self.assertIs(refusal.reason, NotRunReason.QUARANTINED)
        self.assertIn(compute_path_signature(b"/a"), self.table.unreported)

    def test_number_of_concurrent_suspects_is_limited(self):
        paths = [b"/a", *(f"/{number}".encode() for number in range(MAX_CONCURRENT_SUSPECTS))]
        for path in paths:
            self.add_suspect(path, 2)
        attempt, started = self.hand_over(b"/a")
        self.assertIsInstance(started, ov.Dispatch)
        others = [self.hand_over(path)[1] for path in paths[1:]]
        self.assertTrue(all(isinstance(effect, ov.Dispatch) for effect in others[:-1]))
        self.assertIs(others[-1].reason, NotRunReason.KEPT_APART)
        self.assertIsInstance(self.hand_over(b"/a")[1], ov.Dispatch)
        self.assertIsInstance(self.hand_over(b"/harmless")[1], ov.Dispatch)
        self.answer(attempt, 200)
        self.assertEqual(self.count_ends(b"/a"), 0)

    def test_no_other_suspect_runs_during_a_trial(self):
        self.add_suspect(b"/b", 2)
        for _ in range(3):
            self.end_upstream(self.hand_over(b"/a")[0])
            self.now += 1.0
        self.now = 7.0
        self.assertIsInstance(self.hand_over(b"/a")[1], ov.Dispatch)
        self.assertIs(self.hand_over(b"/b")[1].reason, NotRunReason.KEPT_APART)

    def test_two_poison_requests_are_identified_among_forty_harmless_ones(self):
        """Replay two poison requests among 40 harmless ones, all sent again until served."""
        poison = (b"/g1", b"/g2")
        harmless = [f"/{number}".encode() for number in range(40)]
        self.step(ov.UpstreamAnnounced(64, 64, UpstreamState.READY))
        runs = dict.fromkeys(poison, 0)
        served = set()
        for _ in range(40):
            self.now += 1.0
            started = {}
            for path in (*poison, *(path for path in harmless if path not in served)):
                attempt, effect = self.hand_over(path)
                if isinstance(effect, ov.Dispatch):
                    started[path] = attempt
            ending = [path for path in poison if path in started]
            for path in ending:
                runs[path] += 1
            if ending:
                self.end_upstream(*started.values())
                continue
            for path, attempt in started.items():
                self.answer(attempt, 200)
                served.add(path)
        self.assertEqual(served, set(harmless))
        self.assertLessEqual(max(runs.values()), 5)

    def test_only_successful_answer_clears_suspicion(self):
        self.add_suspect(b"/a", 2)
        self.answer(self.hand_over(b"/a")[0], 500)
        self.assertEqual(self.count_ends(b"/a"), 2)
        self.answer(self.hand_over(b"/a")[0], 200)
        self.assertEqual(self.count_ends(b"/a"), 0)

    def test_announced_departure_creates_no_suspects(self):
        attempt, _ = self.hand_over(b"/a")
        self.step(ov.UpstreamAnnounced(8, 8, UpstreamState.DRAINING))
        self.end_upstream(attempt)
        self.assertEqual(self.count_ends(b"/a"), 0)

    def test_waiting_request_is_refused_once_it_is_quarantined(self):
        for number in range(8):
            self.hand_over(f"/{number}".encode())
        self.sequence += 1
        waiting = AttemptId("e", 1, self.sequence)
        message = HandOver(waiting, 1, "s", "u", "GET", b"/a", (), 9000.0, Repeat.IDEMPOTENT, 1)
        self.step(ov.HandOverArrived(message, 1))
        self.assertIn(waiting, self.owner_state.waiting)
        self.add_suspect(b"/a", 3)
        effects = self.step(ov.DispatchDone(AttemptId("e", 1, 1)))
        refused = [effect for effect in effects if isinstance(effect, ov.ReplyNotRun)]
        self.assertEqual([effect.reason for effect in refused], [NotRunReason.QUARANTINED])
        self.assertNotIn(waiting, self.owner_state.running)


if __name__ == "__main__":
    unittest.main()
