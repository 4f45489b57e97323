#include "scale/fit.h"

#include <Eigen/Dense>
#include <algorithm>
#include <cmath>
#include <map>
#include <stdexcept>

namespace peargrade::scale {
namespace {

constexpr std::size_t kMinDistinctX = 5;
constexpr double kMaxFlatRise = 0.05;      // of the line over the range of x, as a share of the mean
constexpr double kSmallResidual = 0.03;    // of the line, as a share of the mean
constexpr double kPowerMargin = 0.15;      // a power this close to 1 counts as 1
constexpr double kMaxCurveResidual = 0.7;  // of the power law, as a share of that of the line
constexpr double kMinPower = 0.25;
constexpr double kMaxPower = 3;
constexpr double kPowerStep = 0.05;

/// Returns a and b of y = a + b (x / scale)^power by least squares.
Eigen::Vector2d fitPowerLaw(const std::vector<Point>& points, double power, double scale) {
  Eigen::MatrixXd powers(static_cast<Eigen::Index>(points.size()), 2);
  Eigen::VectorXd values(static_cast<Eigen::Index>(points.size()));
  for (Eigen::Index i = 0; i < values.size(); ++i) {
    const Point& point = points[static_cast<std::size_t>(i)];
    powers(i, 0) = 1;
    powers(i, 1) = std::pow(point.x / scale, power);
    values(i) = point.y;
  }
  return powers.colPivHouseholderQr().solve(values);
}

double rootMeanSquare(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value * value;
  return values.empty() ? 0 : std::sqrt(sum / static_cast<double>(values.size()));
}

/// Root mean square deviation of the points from a power law.
double residualOf(const std::vector<Point>& points, const Eigen::Vector2d& coefficients, double power,
                  double scale) {
  std::vector<double> residuals;
  residuals.reserve(points.size());
  for (const Point& p : points)
    residuals.push_back(p.y - coefficients(0) - coefficients(1) * std::pow(p.x / scale, power));
  return rootMeanSquare(residuals);
}

}  // namespace

const char* growthName(Growth growth) {
  switch (growth) {
    case Growth::Flat:
      return "flat";
    case Growth::Falls:
      return "falls";
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
  if (byX.size() < kMinDistinctX)
    throw std::runtime_error("found " + std::to_string(byX.size()) +
                             " distinct values of the variable, expected " + std::to_string(kMinDistinctX) +
                             " or more");
  std::map<double, double> means;
  std::vector<double> deviations;
  double mean = 0;
  for (const auto& [x, ys] : byX) {
    double sum = 0;
    for (const double y : ys) sum += y;
    means[x] = sum / static_cast<double>(ys.size());
    for (const double y : ys) deviations.push_back(y - means[x]);
    mean += means[x] / static_cast<double>(byX.size());
  }
  const double scale = byX.rbegin()->first == 0 ? 1 : byX.rbegin()->first;
  const Eigen::Vector2d line = fitPowerLaw(points, 1, scale);
  Fit result;
  result.points = points.size();
  result.distinctX = byX.size();
  result.intercept = line(0);
  result.slope = line(1) / scale;
  const double meanSize = std::max(std::abs(mean), 1e-300);
  const double lineResidual = residualOf(points, line, 1, scale);
  result.residual = lineResidual / meanSize;
  result.noise = rootMeanSquare(deviations) / meanSize;
  for (const auto& [x, y] : means) {
    const double deviation = (y - result.intercept - result.slope * x) / meanSize;
    if (std::abs(deviation) > std::abs(result.worstDeviation))
      result.worstDeviation = deviation, result.worstDeviationX = x;
  }
  double bestResidual = lineResidual;
  for (double power = kMinPower; power <= kMaxPower; power += kPowerStep) {
    const double residual = residualOf(points, fitPowerLaw(points, power, scale), power, scale);
    if (residual < bestResidual) bestResidual = residual, result.power = power;
  }
  const double rise = result.slope * (byX.rbegin()->first - byX.begin()->first) / meanSize;
  const bool curved = result.residual >= kSmallResidual && std::abs(result.power - 1) > kPowerMargin &&
                      bestResidual < kMaxCurveResidual * lineResidual;
  if (std::abs(rise) < std::max(kMaxFlatRise, 2 * result.noise))
    result.growth = Growth::Flat;
  else if (rise < 0)
    result.growth = Growth::Falls;
  else if (!curved)
    result.growth = Growth::Linear;
  else
    result.growth = result.power > 1 ? Growth::AboveLinear : Growth::BelowLinear;
  return result;
}

}  // namespace peargrade::scale
