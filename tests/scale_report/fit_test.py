"""Fits on synthetic data."""

import math
import unittest

from fit import Point, is_flat, linear, power


class LinearFits(unittest.TestCase):
    def test_linear_fit_recovers_an_exact_line(self) -> None:
        line = linear([Point(x, 3 + 2 * x) for x in (1, 2, 5, 9)])
        assert line is not None
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.r_squared, 1)
        self.assertAlmostEqual(line.residual_error, 0)
        self.assertAlmostEqual(line.at(100), 203)

    def test_errors_match_the_textbook_formulas(self) -> None:
        # x 1 to 5, y 2 4 5 4 5: slope 0.6, intercept 2.2, SSE 2.4, SST 6.
        line = linear([Point(x, y) for x, y in zip((1, 2, 3, 4, 5), (2, 4, 5, 4, 5))])
        assert line is not None
        self.assertAlmostEqual(line.slope, 0.6)
        self.assertAlmostEqual(line.intercept, 2.2)
        self.assertAlmostEqual(line.r_squared, 0.6)
        self.assertAlmostEqual(line.residual_error, math.sqrt(2.4 / 3))
        self.assertAlmostEqual(line.error_at(3), math.sqrt(2.4 / 3) * math.sqrt(1.2))
        self.assertGreater(line.error_at(10), line.error_at(5))

    def test_fewer_than_three_sizes_give_no_line_for_any_number_of_runs(self) -> None:
        self.assertIsNone(linear([Point(1, 1), Point(1, 2), Point(2, 3), Point(2, 4)]))
        self.assertIsNone(linear([]))

    def test_constant_figure_has_slope_zero(self) -> None:
        line = linear([Point(x, 7) for x in (1, 2, 3)])
        assert line is not None
        self.assertEqual((line.slope, line.at(50), line.r_squared), (0, 7, 1))

    def test_rounding_of_sums_is_not_counted_as_error(self) -> None:
        line = linear([Point(x, 0.1 * x) for x in (23, 200, 375, 750, 1500)])
        assert line is not None
        self.assertEqual((line.intercept, line.residual_error, line.r_squared), (0, 0, 1))
        constant = linear([Point(x, 0.2) for x in (23, 200, 375, 750, 1500)])
        assert constant is not None
        self.assertEqual((constant.slope, constant.residual_error, constant.r_squared), (0, 0, 1))


class Growth(unittest.TestCase):
    def test_means_within_a_tenth_are_flat_even_if_single_runs_differ(self) -> None:
        self.assertTrue(is_flat([Point(1, 90), Point(1, 110), Point(2, 95), Point(3, 104)]))
        self.assertTrue(is_flat([Point(1, 0), Point(2, 0)]))
        self.assertFalse(is_flat([Point(1, 100), Point(2, 100), Point(3, 112)]))


class PowerFits(unittest.TestCase):
    def test_power_fit_recovers_an_exact_square(self) -> None:
        found = power([Point(x, 4 * x**2) for x in (1, 2, 4, 8)])
        assert found is not None
        self.assertAlmostEqual(found.exponent, 2)
        self.assertAlmostEqual(found.factor, 4)
        self.assertAlmostEqual(found.at(10), 400)
        self.assertAlmostEqual(found.residual_error, 0)

    def test_values_without_a_logarithm_give_no_power_fit(self) -> None:
        self.assertIsNone(power([Point(0, 1), Point(1, 2), Point(2, 3)]))
        self.assertIsNone(power([Point(1, 0), Point(2, 2), Point(3, 3)]))


if __name__ == "__main__":
    unittest.main()
