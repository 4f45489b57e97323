// How a figure grows with a variable: a straight line and a power of the variable, by least squares, each
// with what it leaves over.
#pragma once

#include <string>
#include <vector>

namespace peargrade::scale {

struct Point {
  double x = 0, y = 0;
};

enum class Growth {
  Flat,         // the line rises or falls by less than twice the noise, or than a twentieth of the mean
  Falls,        // it becomes less
  Linear,       // the line leaves little over, or no power of the variable leaves much less
  BelowLinear,  // it grows more slowly than the variable
  AboveLinear,  // it grows faster than the variable
};
const char* nameOf(Growth growth);

struct Fit {
  double base = 0, slope = 0;  // y = base + slope x
  double residual = 0;  // root of the mean square of what the line leaves over, as a share of the mean y
  double power = 1;     // y - y(0) ~ x^power
  double noise = 0;     // the same of repetitions of one x about their mean
  std::size_t points = 0, values = 0;  // of all; different x
  double worst = 0, worstAt = 0;       // largest deviation of a mean from the line, as a share; its x
  Growth growth = Growth::Linear;
};

// Throws std::runtime_error for fewer than five different x.
Fit fit(const std::vector<Point>& points);

}  // namespace peargrade::scale
