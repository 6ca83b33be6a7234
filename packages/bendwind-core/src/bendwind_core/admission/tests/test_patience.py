import unittest

from bendwind_core.admission import Patience, find_elapsed_ms, note_timeout
from bendwind_core.admission.patience import MOST_SEEN


def make_patience(*timeouts):
    patience = Patience()
    for timeout_ms in timeouts:
        note_timeout(patience, timeout_ms)
    return patience


class PatienceTest(unittest.TestCase):
    def test_caller_that_came_back_has_been_trying_for_what_its_timeout_lacks(self):
        patience = make_patience(*[4000.0] * 20, 3999.0, 3600.0, 2400.0)
        self.assertAlmostEqual(find_elapsed_ms(patience, 3400.0), 600.0, delta=1.0)
        self.assertEqual(find_elapsed_ms(patience, 3998.0), 0.0)

    def test_a_process_that_has_just_started_goes_by_the_first_timeout_that_it_sees(self):
        # Right after a fault most callers have tried before.
        self.assertEqual(find_elapsed_ms(make_patience(), 3000.0), 0.0)
        self.assertAlmostEqual(find_elapsed_ms(make_patience(4000.0), 3000.0), 1000.0, delta=1.0)

    def test_callers_that_begin_with_less_are_not_taken_for_ones_that_came_back(self):
        patience = make_patience(*[4000.0, 1000.0] * 20)
        self.assertEqual(find_elapsed_ms(patience, 1000.0), 0.0)
        self.assertAlmostEqual(find_elapsed_ms(patience, 700.0), 300.0, delta=1.0)
        self.assertAlmostEqual(find_elapsed_ms(patience, 3000.0), 1000.0, delta=1.0)

    def test_longer_timeout_than_any_usual_one_is_a_first_try(self):
        self.assertEqual(find_elapsed_ms(make_patience(*[1000.0] * 20), 9000.0), 0.0)

    def test_first_tries_are_told_from_twice_as_many_that_came_back(self):
        came_back = [3900.0 - 23.0 * number for number in range(80)]
        patience = make_patience(*[4000.0] * 40, *came_back)
        self.assertAlmostEqual(find_elapsed_ms(patience, 3000.0), 1000.0, delta=1.0)

    def test_callers_may_change_their_timeout(self):
        patience = make_patience(*[4000.0] * MOST_SEEN, *[800.0] * 3 * MOST_SEEN)
        self.assertEqual(find_elapsed_ms(patience, 790.0), 0.0)

    def test_memory_is_bounded(self):
        patience = make_patience(*(1.0 + number for number in range(20_000)))
        self.assertLessEqual(len(patience.counts), MOST_SEEN)
        self.assertEqual(patience.counts.keys(), patience.longest.keys())


if __name__ == "__main__":
    unittest.main()
