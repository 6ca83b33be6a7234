"""Test how slow phases and the usual pace are derived from load reports."""

import unittest

from bendwind_core.attempts.pace import (
    DEFAULT_PHASE_LENGTH,
    Pace,
    find_factor,
    find_phase_length,
    find_remaining_phase_ms,
    is_report_current,
    is_slow,
    record_report,
)


class PaceTest(unittest.TestCase):
    def record_reports(self, pace, *reports):
        for at, factor in reports:
            record_report(pace, factor, at)

    def test_length_of_a_phase_is_learnt_if_both_edges_were_observed(self):
        pace = Pace()
        self.record_reports(pace, (0.0, 1.0), (0.02, 4.0), (0.10, 4.0), (0.12, 1.0))
        self.assertAlmostEqual(find_phase_length(pace), 0.10)
        self.record_reports(pace, (1.0, 1.0), (1.5, 4.0), (1.6, 1.0))
        self.assertEqual(len(pace.phase_lengths), 1)

    def test_remaining_time_of_a_phase_decreases_until_its_end(self):
        pace = Pace()
        self.record_reports(pace, (0.0, 1.0), (0.02, 4.0))
        self.assertAlmostEqual(find_remaining_phase_ms(pace, 0.11), 200.0)
        self.assertTrue(is_slow(pace, 0.11))
        self.assertFalse(is_slow(pace, 0.01 + DEFAULT_PHASE_LENGTH))

    def test_phase_observed_late_is_not_assumed_older_than_usual(self):
        pace = Pace()
        self.record_reports(pace, (0.0, 1.0), (10.0, 4.0))
        self.assertTrue(is_report_current(pace, 9.9))
        self.assertGreaterEqual(pace.phase_began_at, 10.0 - DEFAULT_PHASE_LENGTH)

    def test_report_of_the_usual_pace_is_current_for_a_while(self):
        pace = Pace()
        self.record_reports(pace, (0.0, 1.0))
        self.assertTrue(is_report_current(pace, 0.015))
        self.assertFalse(is_report_current(pace, 0.025))
        self.assertFalse(is_report_current(pace, 0.5))

    def test_lasting_slow_pace_becomes_the_usual_pace(self):
        # The seconds after a start would otherwise count as one slow phase after another: waiting
        # requests would be held for an end that does not come, and then be refused.
        pace = Pace()
        self.record_reports(pace, *[(0.1 * number, 2.0) for number in range(6)])
        self.assertFalse(is_slow(pace, 0.51))
        self.assertTrue(is_report_current(pace, 0.51))
        self.assertEqual(find_factor(pace, 0.51), 2.0)
        self.record_reports(pace, (0.6, 8.0))
        self.assertTrue(is_slow(pace, 0.61))
        self.assertEqual(find_factor(pace, 0.61), 8.0)
        self.assertEqual(find_factor(pace, 1.5), 2.0)

    def test_two_phases_without_a_report_between_do_not_become_the_usual_pace(self):
        # An upstream that receives few requests would otherwise count as one that stays slow, and
        # attempts that start in a slow phase as attempts that start at the usual pace.
        pace = Pace()
        self.record_reports(pace, (0.0, 1.0), (0.5, 5.0), (1.1, 5.0))
        self.assertEqual(pace.base, 1.0)

    def test_warmed_up_upstream_is_at_its_usual_pace_immediately(self):
        pace = Pace()
        self.record_reports(pace, *[(0.1 * number, 2.0) for number in range(6)], (0.6, 1.0))
        self.assertEqual((pace.base, find_factor(pace, 0.6)), (1.0, 1.0))
        self.record_reports(pace, (0.7, 4.0))
        self.assertTrue(is_slow(pace, 0.7))

    def test_two_phases_in_a_row_do_not_become_the_usual_pace_after_a_report_of_it(self):
        pace = Pace()
        self.record_reports(pace, *[(0.1 * number, 4.0) for number in range(6)])
        self.record_reports(pace, (0.6, 1.0), (0.7, 4.0))
        self.assertTrue(is_slow(pace, 0.71))

    def test_no_report_is_awaited_if_no_load_was_ever_reported(self):
        self.assertTrue(is_report_current(Pace(), 5.0))


if __name__ == "__main__":
    unittest.main()
