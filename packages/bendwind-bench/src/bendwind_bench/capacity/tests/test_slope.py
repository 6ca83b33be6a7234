"""Test the fitting of lines."""

import unittest

from bendwind_bench.capacity.slope import fit


class TestFit(unittest.TestCase):
    def test_scattered_points_give_expected_line_and_error(self):
        line = fit("", "us", "item", [(1, 2), (2, 4), (3, 5), (4, 4), (5, 5)])
        self.assertAlmostEqual(line.slope, 0.6)
        self.assertAlmostEqual(line.intercept, 2.2)
        self.assertAlmostEqual(line.slope_error, 0.2828427, places=6)
        self.assertAlmostEqual(line.r_squared, 0.6)

    def test_repeated_sizes_count_once(self):
        with self.assertRaises(ValueError):
            fit("", "us", "item", [(1, 2), (1, 3), (2, 4), (3, 5)])

    def test_value_of_a_line_is_never_below_zero(self):
        line = fit("", "us", "item", [(1, 1), (2, 2), (3, 3), (4, 4)])
        self.assertEqual(line.value_at(-3), 0.0)


if __name__ == "__main__":
    unittest.main()
