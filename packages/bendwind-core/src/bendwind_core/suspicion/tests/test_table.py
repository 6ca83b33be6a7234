import unittest

from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.suspicion import (
    Isolated,
    Quarantined,
    SuspectTable,
    SuspicionLimits,
    Unrestricted,
    UpstreamEndId,
    clear_suspect,
    find_report,
    find_restriction,
    find_trial_at,
    is_withheld,
    list_restricted,
    list_unreported,
    merge_and_queue_report,
    merge_report,
    pop_unreported,
    record_end,
    record_trial,
)
from bendwind_core.suspicion.table import (
    COMMON_CAUSE_WINDOW,
    MAX_CONCURRENT_SUSPECTS,
    MAX_ENDS,
    MAX_SUSPECTS,
    OTHER_NODES_TRIAL_DELAY,
    OTHER_NODES_TRIAL_SPREAD,
    TRIAL_RETRY_DELAY,
)

LIMITS = SuspicionLimits(apart_from=2, quarantine_from=3, quarantine=5.0, keep=600.0)
POISON = b"poison"
ISOLATED = Isolated(MAX_CONCURRENT_SUSPECTS - 1)
TRIAL = Isolated(0)


class TableTest(unittest.TestCase):
    """Follow the table of the node n1, and of others that it tells."""

    def setUp(self):
        self.table = SuspectTable("n1", LIMITS)
        self.now = 0.0

    def end(self, number, signature=POISON, owner="n1", table=None, *, is_served=False):
        end_id = UpstreamEndId(owner, 1, f"u-{owner}", number)
        table = table or self.table
        record_end(table, signature, "s", end_id, self.now, is_served=is_served)

    def judge(self, signature=POISON, table=None):
        return find_restriction(table or self.table, signature, self.now)

    def test_request_runs_beside_few_suspects_after_two_ends_and_not_after_three(self):
        judgements = []
        for number in range(3):
            self.end(number)
            judgements.append(self.judge())
        self.assertEqual(judgements, [Unrestricted(), ISOLATED, Quarantined(5000.0)])

    def test_one_end_counts_once_however_many_of_the_same_request_it_ended_under(self):
        for _ in range(5):
            self.end(1)
        self.assertEqual(self.judge(), Unrestricted())

    def test_another_request_is_not_suspected(self):
        for number in range(5):
            self.end(number)
        self.assertEqual(self.judge(b"harmless"), Unrestricted())

    def test_answer_clears_and_what_was_told_before_is_over(self):
        for number in range(3):
            self.end(number)
        before = find_report(self.table, POISON, self.now)
        self.assertTrue(clear_suspect(self.table, POISON, self.now))
        self.assertEqual(self.judge(), Unrestricted())
        self.assertFalse(merge_report(self.table, before, self.now))
        self.assertEqual(self.judge(), Unrestricted())
        self.assertFalse(clear_suspect(self.table, POISON, self.now))

    def test_trials_come_ever_later_and_one_at_a_time(self):
        for number in range(3):
            self.end(number)
        waits = []
        for number in range(3, 6):
            waits.append(self.judge().wait_ms / MILLISECONDS_PER_SECOND)
            self.now += waits[-1]
            self.assertEqual(self.judge(), TRIAL)
            record_trial(self.table, POISON, self.now)
            self.assertEqual(self.judge(), Quarantined(TRIAL_RETRY_DELAY * MILLISECONDS_PER_SECOND))
            self.end(number)
        self.assertEqual(waits, [5.0, 40.0, 320.0])

    def test_trial_that_never_started_is_made_again(self):
        for number in range(3):
            self.end(number)
        self.now = 5.0
        self.assertEqual(self.judge(), TRIAL)
        record_trial(self.table, POISON, self.now)
        self.now += TRIAL_RETRY_DELAY
        self.assertEqual(self.judge(), TRIAL)

    def test_others_try_only_where_the_last_owner_does_not_and_not_all_at_once(self):
        for number in range(3):
            self.end(number)
        report = find_report(self.table, POISON, self.now)
        trials = []
        for index in range(20):
            other = SuspectTable(f"other-{index}", LIMITS)
            merge_report(other, report, self.now)
            trials.append(find_trial_at(other, other.suspects[POISON]))
        first, last = (
            5.0 + OTHER_NODES_TRIAL_DELAY,
            5.0 + OTHER_NODES_TRIAL_DELAY + OTHER_NODES_TRIAL_SPREAD,
        )
        self.assertTrue(all(first <= trial <= last for trial in trials))
        self.assertGreater(len({round(trial) for trial in trials}), 10)

    def test_suspicion_ends(self):
        for number in range(3):
            self.end(number)
        self.now = LIMITS.keep + 6.0
        self.assertEqual(self.judge(), Unrestricted())
        self.assertIsNone(self.table.suspects[POISON].tried_at)

    def test_two_nodes_that_saw_some_ends_each_know_all_of_them_once_they_have_told(self):
        other = SuspectTable("n2", LIMITS)
        self.end(1)
        self.now = 1.0
        self.end(1, owner="n2", table=other)
        self.end(2, owner="n2", table=other)
        for report in pop_unreported(other, self.now):
            self.assertTrue(merge_and_queue_report(self.table, report, self.now))
        for report in pop_unreported(self.table, self.now):
            merge_report(other, report, self.now)
        for table in (self.table, other):
            self.assertIsInstance(self.judge(table=table), Quarantined)

    def test_end_does_not_grow_younger_by_being_told_to_and_fro(self):
        other = SuspectTable("n2", LIMITS)
        for number in range(3):
            self.end(number)
        report = find_report(self.table, POISON, self.now)
        for _ in range(10):
            self.now += 1.0
            merge_report(other, report, self.now)
            self.now += 1.0
            merge_report(self.table, find_report(other, POISON, self.now), self.now)
            report = find_report(self.table, POISON, self.now)
        self.assertEqual(self.table.suspects[POISON].last.at, 0.0)

    def test_what_was_heard_before_is_no_news(self):
        for number in range(3):
            self.end(number)
        other = SuspectTable("n2", LIMITS)
        report = find_report(self.table, POISON, self.now)
        self.assertTrue(merge_and_queue_report(other, report, self.now))
        pop_unreported(other, self.now)
        self.assertFalse(merge_and_queue_report(other, report, self.now + 1.0))
        self.assertEqual(list_unreported(other, self.now), ())

    def test_ends_at_one_moment_speak_once_against_what_was_served_shortly_before(self):
        """Replay a loss of power: one popular request ran at each of four upstreams."""
        for owner in ("n1", "n2", "n3", "n4"):
            self.end(1, owner=owner, is_served=True)
            self.now += 0.1
        self.assertEqual(self.judge(), Unrestricted())

    def test_request_that_was_served_and_ends_upstreams_from_then_on_is_found_out(self):
        for owner in ("n1", "n2", "n3", "n4"):
            self.end(1, owner=owner, is_served=True)
            self.now += COMMON_CAUSE_WINDOW + 0.5
        self.assertIsInstance(self.judge(), Quarantined)

    def test_request_that_waits_is_withheld_once_three_upstreams_ended_under_it(self):
        for number in range(2):
            self.end(number)
        self.assertFalse(is_withheld(self.table, POISON, self.now))
        self.end(2)
        self.assertTrue(is_withheld(self.table, POISON, self.now))
        self.now = 5.0
        record_trial(self.table, POISON, self.now)
        self.assertFalse(is_withheld(self.table, POISON, self.now))

    def test_memory_is_bounded_and_what_has_consequences_stays(self):
        for number in range(3):
            self.end(number)
        for index in range(3 * MAX_SUSPECTS):
            self.end(9, str(index).encode())
        for number in range(3, 3 * MAX_ENDS):
            self.end(number)
        self.assertLessEqual(len(self.table.suspects), MAX_SUSPECTS)
        self.assertLessEqual(len(self.table.unreported), MAX_SUSPECTS)
        self.assertEqual(len(self.table.suspects[POISON].ends), MAX_ENDS)
        self.assertEqual(
            [report.signature for report in list_restricted(self.table, 0.0)], [POISON]
        )

    def test_request_that_was_cleared_is_suspected_anew_from_the_first_end_on(self):
        for number in range(3):
            self.end(number)
        clear_suspect(self.table, POISON, self.now)
        self.end(7)
        self.assertEqual(self.judge(), Unrestricted())
        self.end(8)
        self.end(9)
        self.assertIsInstance(self.judge(), Quarantined)


if __name__ == "__main__":
    unittest.main()
