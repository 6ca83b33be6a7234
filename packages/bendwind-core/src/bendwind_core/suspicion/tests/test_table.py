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
    """Test the table of the node n1, and of other nodes to which it reports."""

    def setUp(self):
        self.table = SuspectTable("n1", LIMITS)
        self.now = 0.0

    def record_end(self, number, signature=POISON, owner="n1", table=None, *, is_served=False):
        end_id = UpstreamEndId(owner, 1, f"u-{owner}", number)
        table = table or self.table
        record_end(table, signature, "s", end_id, self.now, is_served=is_served)

    def find_restriction(self, signature=POISON, table=None):
        return find_restriction(table or self.table, signature, self.now)

    def test_request_is_isolated_after_two_ends_and_quarantined_after_three(self):
        restrictions = []
        for number in range(3):
            self.record_end(number)
            restrictions.append(self.find_restriction())
        self.assertEqual(restrictions, [Unrestricted(), ISOLATED, Quarantined(5000.0)])

    def test_one_end_counts_once_even_if_several_attempts_of_the_request_ran(self):
        for _ in range(5):
            self.record_end(1)
        self.assertEqual(self.find_restriction(), Unrestricted())

    def test_another_request_is_not_suspected(self):
        for number in range(5):
            self.record_end(number)
        self.assertEqual(self.find_restriction(b"harmless"), Unrestricted())

    def test_answer_clears_the_request_and_makes_earlier_reports_obsolete(self):
        for number in range(3):
            self.record_end(number)
        before = find_report(self.table, POISON, self.now)
        self.assertTrue(clear_suspect(self.table, POISON, self.now))
        self.assertEqual(self.find_restriction(), Unrestricted())
        self.assertFalse(merge_report(self.table, before, self.now))
        self.assertEqual(self.find_restriction(), Unrestricted())
        self.assertFalse(clear_suspect(self.table, POISON, self.now))

    def test_time_between_trials_grows_and_trials_run_one_at_a_time(self):
        for number in range(3):
            self.record_end(number)
        waits = []
        for number in range(3, 6):
            waits.append(self.find_restriction().wait_ms / MILLISECONDS_PER_SECOND)
            self.now += waits[-1]
            self.assertEqual(self.find_restriction(), TRIAL)
            record_trial(self.table, POISON, self.now)
            self.assertEqual(
                self.find_restriction(), Quarantined(TRIAL_RETRY_DELAY * MILLISECONDS_PER_SECOND)
            )
            self.record_end(number)
        self.assertEqual(waits, [5.0, 40.0, 320.0])

    def test_trial_that_never_started_is_repeated(self):
        for number in range(3):
            self.record_end(number)
        self.now = 5.0
        self.assertEqual(self.find_restriction(), TRIAL)
        record_trial(self.table, POISON, self.now)
        self.now += TRIAL_RETRY_DELAY
        self.assertEqual(self.find_restriction(), TRIAL)

    def test_other_nodes_try_later_than_the_last_owner_and_at_different_times(self):
        for number in range(3):
            self.record_end(number)
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

    def test_suspicion_expires(self):
        for number in range(3):
            self.record_end(number)
        self.now = LIMITS.keep + 6.0
        self.assertEqual(self.find_restriction(), Unrestricted())
        self.assertIsNone(self.table.suspects[POISON].tried_at)

    def test_two_nodes_know_all_ends_after_exchanging_reports(self):
        other = SuspectTable("n2", LIMITS)
        self.record_end(1)
        self.now = 1.0
        self.record_end(1, owner="n2", table=other)
        self.record_end(2, owner="n2", table=other)
        for report in pop_unreported(other, self.now):
            self.assertTrue(merge_and_queue_report(self.table, report, self.now))
        for report in pop_unreported(self.table, self.now):
            merge_report(other, report, self.now)
        for table in (self.table, other):
            self.assertIsInstance(self.find_restriction(table=table), Quarantined)

    def test_age_of_an_end_is_not_reduced_by_repeated_exchange_of_reports(self):
        other = SuspectTable("n2", LIMITS)
        for number in range(3):
            self.record_end(number)
        report = find_report(self.table, POISON, self.now)
        for _ in range(10):
            self.now += 1.0
            merge_report(other, report, self.now)
            self.now += 1.0
            merge_report(self.table, find_report(other, POISON, self.now), self.now)
            report = find_report(self.table, POISON, self.now)
        self.assertEqual(self.table.suspects[POISON].last.at, 0.0)

    def test_report_that_was_merged_before_is_not_new(self):
        for number in range(3):
            self.record_end(number)
        other = SuspectTable("n2", LIMITS)
        report = find_report(self.table, POISON, self.now)
        self.assertTrue(merge_and_queue_report(other, report, self.now))
        pop_unreported(other, self.now)
        self.assertFalse(merge_and_queue_report(other, report, self.now + 1.0))
        self.assertEqual(list_unreported(other, self.now), ())

    def test_simultaneous_ends_are_excused_for_a_request_served_shortly_before(self):
        """Simulate a power loss: one popular request ran at each of four upstreams."""
        for owner in ("n1", "n2", "n3", "n4"):
            self.record_end(1, owner=owner, is_served=True)
            self.now += 0.1
        self.assertEqual(self.find_restriction(), Unrestricted())

    def test_request_that_was_served_and_then_ends_upstreams_is_quarantined(self):
        for owner in ("n1", "n2", "n3", "n4"):
            self.record_end(1, owner=owner, is_served=True)
            self.now += COMMON_CAUSE_WINDOW + 0.5
        self.assertIsInstance(self.find_restriction(), Quarantined)

    def test_waiting_request_is_withheld_after_three_upstreams_ended_under_it(self):
        for number in range(2):
            self.record_end(number)
        self.assertFalse(is_withheld(self.table, POISON, self.now))
        self.record_end(2)
        self.assertTrue(is_withheld(self.table, POISON, self.now))
        self.now = 5.0
        record_trial(self.table, POISON, self.now)
        self.assertFalse(is_withheld(self.table, POISON, self.now))

    def test_memory_is_bounded_and_restricted_suspects_are_kept(self):
        for number in range(3):
            self.record_end(number)
        for index in range(3 * MAX_SUSPECTS):
            self.record_end(9, str(index).encode())
        for number in range(3, 3 * MAX_ENDS):
            self.record_end(number)
        self.assertLessEqual(len(self.table.suspects), MAX_SUSPECTS)
        self.assertLessEqual(len(self.table.unreported), MAX_SUSPECTS)
        self.assertEqual(len(self.table.suspects[POISON].ends), MAX_ENDS)
        self.assertEqual(
            [report.signature for report in list_restricted(self.table, 0.0)], [POISON]
        )

    def test_ends_of_a_cleared_request_are_counted_from_zero(self):
        for number in range(3):
            self.record_end(number)
        clear_suspect(self.table, POISON, self.now)
        self.record_end(7)
        self.assertEqual(self.find_restriction(), Unrestricted())
        self.record_end(8)
        self.record_end(9)
        self.assertIsInstance(self.find_restriction(), Quarantined)


if __name__ == "__main__":
    unittest.main()
