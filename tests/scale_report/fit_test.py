"""Fits on made data."""

import math
import unittest

from fit import Point, flat, linear, power


class LinearFits(unittest.TestCase):
    def test_a_line_without_noise_is_found_again(self) -> None:
        line = linear([Point(x, 3 + 2 * x) for x in (1, 2, 5, 9)])
        assert line is not None
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.r_squared, 1)
        self.assertAlmostEqual(line.residual_error, 0)
        self.assertAlmostEqual(line.at(100), 203)

    def test_the_errors_are_those_of_the_textbook(self) -> None:
        # x 1 to 5, y 2 4 5 4 5: slope 0.6, intercept 2.2, SSE 2.4, SST 6.
        line = linear([Point(x, y) for x, y in zip((1, 2, 3, 4, 5), (2, 4, 5, 4, 5))])
        assert line is not None
        self.assertAlmostEqual(line.slope, 0.6)
        self.assertAlmostEqual(line.intercept, 2.2)
        self.assertAlmostEqual(line.r_squared, 0.6)
        self.assertAlmostEqual(line.residual_error, math.sqrt(2.4 / 3))
        self.assertAlmostEqual(line.error_at(3), math.sqrt(2.4 / 3) * math.sqrt(1.2))
        self.assertGreater(line.error_at(10), line.error_at(5))

    def test_fewer_than_three_sizes_give_no_line_however_many_runs(self) -> None:
        self.assertIsNone(linear([Point(1, 1), Point(1, 2), Point(2, 3), Point(2, 4)]))
        self.assertIsNone(linear([]))

    def test_a_figure_that_does_not_change_has_a_level_line(self) -> None:
        line = linear([Point(x, 7) for x in (1, 2, 3)])
        assert line is not None
        self.assertEqual((line.slope, line.at(50), line.r_squared), (0, 7, 1))

    def test_the_rounding_of_sums_is_no_error(self) -> None:
        line = linear([Point(x, 0.1 * x) for x in (23, 200, 375, 750, 1500)])
        assert line is not None
        self.assertEqual((line.intercept, line.residual_error, line.r_squared), (0, 0, 1))
        level = linear([Point(x, 0.2) for x in (23, 200, 375, 750, 1500)])
        assert level is not None
        self.assertEqual((level.slope, level.residual_error, level.r_squared), (0, 0, 1))


class Growth(unittest.TestCase):
    def test_means_within_a_tenth_are_flat_whatever_single_runs_say(self) -> None:
        self.assertTrue(flat([Point(1, 90), Point(1, 110), Point(2, 95), Point(3, 104)]))
        self.assertTrue(flat([Point(1, 0), Point(2, 0)]))
        self.assertFalse(flat([Point(1, 100), Point(2, 100), Point(3, 112)]))


class PowerFits(unittest.TestCase):
    def test_a_square_is_named(self) -> None:
        found = power([Point(x, 4 * x**2) for x in (1, 2, 4, 8)])
        assert found is not None
        self.assertAlmostEqual(found.exponent, 2)
        self.assertAlmostEqual(found.factor, 4)
        self.assertAlmostEqual(found.at(10), 400)
        self.assertAlmostEqual(found.residual_error, 0)

    def test_what_has_no_logarithm_has_no_power(self) -> None:
        self.assertIsNone(power([Point(0, 1), Point(1, 2), Point(2, 3)]))
        self.assertIsNone(power([Point(1, 0), Point(2, 2), Point(3, 3)]))


if __name__ == "__main__":
    unittest.main()
