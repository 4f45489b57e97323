#include "scale/fit.h"

#include <Eigen/Dense>
#include <algorithm>
#include <cmath>
#include <map>
#include <stdexcept>

namespace peargrade::scale {
namespace {

constexpr std::size_t kValuesLeast = 5;
constexpr double kFlatRise = 0.05;       // over the whole range, as a share of the mean
constexpr double kSmallResidual = 0.03;  // a line that leaves less over is one
constexpr double kCurve = 0.1;           // share of the mean that the bend of a parabola has to explain

// Coefficients of 1, x, x^2 ... by least squares. x is scaled, so that high powers stay in range.
Eigen::VectorXd polynomial(const std::vector<Point>& points, int degree, double scale) {
  Eigen::MatrixXd powers(static_cast<Eigen::Index>(points.size()), degree + 1);
  Eigen::VectorXd values(static_cast<Eigen::Index>(points.size()));
  for (Eigen::Index i = 0; i < values.size(); ++i) {
    const Point& point = points[static_cast<std::size_t>(i)];
    for (int k = 0; k <= degree; ++k) powers(i, k) = std::pow(point.x / scale, k);
    values(i) = point.y;
  }
  return powers.colPivHouseholderQr().solve(values);
}

double rootMeanSquare(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value * value;
  return values.empty() ? 0 : std::sqrt(sum / static_cast<double>(values.size()));
}

// The power in y ~ x^power between the ends of the range, beside the part that does not grow.
double powerOf(const std::map<double, double>& means, double base) {
  std::vector<Point> logs;
  for (const auto& [x, y] : means) {
    if (x > 0 && y - base > 0) logs.push_back({std::log(x), std::log(y - base)});
  }
  if (logs.size() < 3) return 1;
  const Eigen::VectorXd line = polynomial(logs, 1, 1);
  return line(1);
}

}  // namespace

const char* nameOf(Growth growth) {
  switch (growth) {
    case Growth::Flat:
      return "flat";
    case Growth::Linear:
      return "linear";
    case Growth::BelowLinear:
      return "below linear";
    case Growth::AboveLinear:
      return "above linear";
  }
  return "unknown";
}

Fit fit(const std::vector<Point>& points) {
  std::map<double, std::vector<double>> byX;
  for (const Point& p : points) byX[p.x].push_back(p.y);
  if (byX.size() < kValuesLeast)
    throw std::runtime_error("found " + std::to_string(byX.size()) + " values, expected " +
                             std::to_string(kValuesLeast) + " or more");
  std::map<double, double> means;
  std::vector<double> scatter;
  double mean = 0;
  for (const auto& [x, ys] : byX) {
    double sum = 0;
    for (const double y : ys) sum += y;
    means[x] = sum / static_cast<double>(ys.size());
    for (const double y : ys) scatter.push_back(y - means[x]);
    mean += means[x] / static_cast<double>(byX.size());
  }
  const double scale = byX.rbegin()->first == 0 ? 1 : byX.rbegin()->first;
  const Eigen::VectorXd line = polynomial(points, 1, scale), bent = polynomial(points, 2, scale);
  Fit f;
  f.points = points.size();
  f.values = byX.size();
  f.base = line(0);
  f.slope = line(1) / scale;
  const double size = std::max(std::abs(mean), 1e-300);
  std::vector<double> left;
  for (const Point& p : points) left.push_back(p.y - f.base - f.slope * p.x);
  f.residual = rootMeanSquare(left) / size;
  f.noise = rootMeanSquare(scatter) / size;
  for (const auto& [x, y] : means) {
    const double off = (y - f.base - f.slope * x) / size;
    if (std::abs(off) > std::abs(f.worst)) f.worst = off, f.worstAt = x;
  }
  f.power = powerOf(means, std::min(bent(0), means.begin()->second * 0.999));
  const double range = byX.rbegin()->first - byX.begin()->first;
  const double rise = f.slope * range / size;
  // The bend, as the largest part of the parabola that no line has: a quarter of its factor in the middle.
  const double span = range / scale;
  const double bend = bent(2) * span * span / 4 / size;
  if (std::abs(rise) < std::max(kFlatRise, 2 * f.noise) && std::abs(bend) < std::max(kFlatRise, 2 * f.noise))
    f.growth = Growth::Flat;
  else if (f.residual < kSmallResidual || std::abs(bend) < std::max(kCurve, 2 * f.noise))
    f.growth = Growth::Linear;
  else
    f.growth = bend > 0 ? Growth::AboveLinear : Growth::BelowLinear;
  return f;
}

}  // namespace peargrade::scale
