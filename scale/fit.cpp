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
constexpr double kPowerMargin = 0.15;    // powers that count as 1
constexpr double kMuchLess = 0.7;        // of what the line leaves over
constexpr double kPowerLeast = 0.25, kPowerMost = 3, kPowerStep = 0.05;

// a and b of y = a + b (x / scale)^power by least squares.
Eigen::Vector2d curve(const std::vector<Point>& points, double power, double scale) {
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

// What a curve leaves over: root of the mean square.
double leftOver(const std::vector<Point>& points, const Eigen::Vector2d& of, double power, double scale) {
  std::vector<double> left;
  left.reserve(points.size());
  for (const Point& p : points) left.push_back(p.y - of(0) - of(1) * std::pow(p.x / scale, power));
  return rootMeanSquare(left);
}

}  // namespace

const char* nameOf(Growth growth) {
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
  const Eigen::Vector2d line = curve(points, 1, scale);
  Fit f;
  f.points = points.size();
  f.values = byX.size();
  f.base = line(0);
  f.slope = line(1) / scale;
  const double size = std::max(std::abs(mean), 1e-300);
  const double lineLeaves = leftOver(points, line, 1, scale);
  f.residual = lineLeaves / size;
  f.noise = rootMeanSquare(scatter) / size;
  for (const auto& [x, y] : means) {
    const double off = (y - f.base - f.slope * x) / size;
    if (std::abs(off) > std::abs(f.worst)) f.worst = off, f.worstAt = x;
  }
  double least = lineLeaves;
  for (double power = kPowerLeast; power <= kPowerMost; power += kPowerStep) {
    const double leaves = leftOver(points, curve(points, power, scale), power, scale);
    if (leaves < least) least = leaves, f.power = power;
  }
  const double rise = f.slope * (byX.rbegin()->first - byX.begin()->first) / size;
  const bool curved =
      f.residual >= kSmallResidual && std::abs(f.power - 1) > kPowerMargin && least < kMuchLess * lineLeaves;
  if (std::abs(rise) < std::max(kFlatRise, 2 * f.noise))
    f.growth = Growth::Flat;
  else if (rise < 0)
    f.growth = Growth::Falls;
  else if (!curved)
    f.growth = Growth::Linear;
  else
    f.growth = f.power > 1 ? Growth::AboveLinear : Growth::BelowLinear;
  return f;
}

}  // namespace peargrade::scale
