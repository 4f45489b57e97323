// Fits a metric to a swept variable: a straight line and a power law, by least squares, with their residuals.
#pragma once

#include <string>
#include <vector>

namespace peargrade::scale {

struct Point {
  double x = 0;
  double y = 0;
};

enum class Growth {
  Flat,         // the line rises or falls by less than twice the noise, or less than 5 % of the mean
  Falls,        // the line falls
  Linear,       // the line has a small residual, or no power law has a clearly smaller one
  BelowLinear,  // the power law fits clearly better, with a power below 1
  AboveLinear,  // the power law fits clearly better, with a power above 1
};
const char* growthName(Growth growth);

/// The residual, the noise and the worst deviation are shares of the mean y.
struct Fit {
  double intercept = 0;  // y = intercept + slope x
  double slope = 0;
  double residual = 0;  // root mean square deviation of the points from the line
  double power = 1;     // y - y(0) ~ x^power
  double noise = 0;     // root mean square deviation of repetitions of one x from their mean
  std::size_t points = 0;
  std::size_t distinctX = 0;
  double worstDeviation = 0;  // largest deviation of the mean at one x from the line, with its sign
  double worstDeviationX = 0;
  Growth growth = Growth::Linear;
};

/// Throws std::runtime_error for fewer than five distinct x.
Fit fit(const std::vector<Point>& points);

}  // namespace peargrade::scale
