"""Least-squares fits through measured points: a line, and a power law that describes nonlinear growth.

Source: ordinary least squares; the error of a prediction at x is s * sqrt(1 + 1/n + (x - mean)^2 / Sxx) with
s = sqrt(SSE / (n - 2)), see any text on simple linear regression (Draper and Smith, Applied Regression Analysis).
"""

from __future__ import annotations

import dataclasses
import math
from typing import Optional, Sequence

MIN_SIZES = 3  # distinct x; with fewer, the error of a line cannot be estimated
_FLAT_SPREAD = 0.1  # fraction of the largest mean
# Fraction of the largest value. Smaller results are rounding errors of sums, which differ between machines.
_ROUNDING_ERROR = 1e-9


@dataclasses.dataclass(frozen=True)
class Point:
    """One repetition: x is the size, y the measured figure."""

    x: float
    y: float


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """y = intercept + slope * x, with R^2 and the residual standard error in the unit of y."""

    slope: float
    intercept: float
    r_squared: float
    residual_error: float
    count: int
    mean_x: float
    sum_squares_x: float

    def at(self, x: float) -> float:
        """Returns the value of the line at x."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Returns the standard error of one new measurement at x."""
        spread = 1 + 1 / self.count + (x - self.mean_x) ** 2 / self.sum_squares_x
        return self.residual_error * math.sqrt(spread)


@dataclasses.dataclass(frozen=True)
class PowerFit:
    """y = factor * x^exponent, fitted on logarithms; the residual error is in the unit of y, as for a line."""

    factor: float
    exponent: float
    residual_error: float

    def at(self, x: float) -> float:
        """Returns the value of the power law at x."""
        return float(self.factor * x**self.exponent)


def _round_to_zero(value: float, largest: float) -> float:
    return 0.0 if abs(value) < _ROUNDING_ERROR * largest else value


def means(points: Sequence[Point]) -> dict[float, float]:
    """Returns the mean at each size, in ascending order of size."""
    sizes = sorted({point.x for point in points})
    return {x: _mean([point.y for point in points if point.x == x]) for x in sizes}


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def is_flat(points: Sequence[Point]) -> bool:
    """Whether the means of all sizes differ by at most a tenth of the largest, so that no growth is visible."""
    found = means(points).values()
    return max(found) - min(found) <= _FLAT_SPREAD * max(found)


def _count_sizes(points: Sequence[Point]) -> int:
    return len({point.x for point in points})


def linear(points: Sequence[Point]) -> Optional[LinearFit]:
    """Returns the line through the points; None with fewer than MIN_SIZES distinct sizes."""
    if _count_sizes(points) < MIN_SIZES:
        return None
    count = len(points)
    mean_x = sum(p.x for p in points) / count
    mean_y = sum(p.y for p in points) / count
    sum_xx = sum((p.x - mean_x) ** 2 for p in points)
    sum_xy = sum((p.x - mean_x) * (p.y - mean_y) for p in points)
    sum_yy = sum((p.y - mean_y) ** 2 for p in points)
    largest = max(abs(p.y) for p in points)
    slope = _round_to_zero(sum_xy / sum_xx * mean_x, largest) / mean_x if mean_x else sum_xy / sum_xx
    intercept = _round_to_zero(mean_y - slope * mean_x, largest)
    squares = sum((p.y - intercept - slope * p.x) ** 2 for p in points)
    error = _round_to_zero(math.sqrt(squares / (count - 2)), largest)
    r_squared = 1 - squares / sum_yy if error > 0 else 1.0
    return LinearFit(slope, intercept, r_squared, error, count, mean_x, sum_xx)


def power(points: Sequence[Point]) -> Optional[PowerFit]:
    """Returns the power law through the points; None with fewer than MIN_SIZES sizes or if an x or y is not above 0."""
    if _count_sizes(points) < MIN_SIZES or any(p.x <= 0 or p.y <= 0 for p in points):
        return None
    line = linear([Point(math.log(p.x), math.log(p.y)) for p in points])
    if line is None:
        return None
    factor = math.exp(line.intercept)
    squares = sum((p.y - factor * p.x**line.slope) ** 2 for p in points)
    error = _round_to_zero(math.sqrt(squares / (len(points) - 2)), max(p.y for p in points))
    return PowerFit(factor, line.slope, error)
