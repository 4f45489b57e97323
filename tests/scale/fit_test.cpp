#include "scale/fit.h"

#include <gtest/gtest.h>

#include <cmath>
#include <fstream>

#include "scale/result.h"

namespace peargrade::scale {
namespace {

template <class Y>
std::vector<Point> samplePoints(const Y& y) {
  std::vector<Point> all;
  for (const double x : {23.0, 94.0, 188.0, 375.0, 750.0, 1500.0}) {
    for (const double noise : {-0.01, 0.0, 0.01}) all.push_back({x, y(x) * (1 + noise)});
  }
  return all;
}

TEST(Fit, ClassifiesGrowth) {
  const Fit line = fit(samplePoints([](double x) { return 40 + 3 * x; }));
  EXPECT_EQ(line.growth, Growth::Linear);
  EXPECT_NEAR(line.slope, 3, 0.01);
  EXPECT_NEAR(line.intercept, 40, 2);
  EXPECT_LT(line.residual, 0.02);
  const Fit square = fit(samplePoints([](double x) { return 5 + x * x; }));
  EXPECT_EQ(square.growth, Growth::AboveLinear);
  EXPECT_NEAR(square.power, 2, 0.1);
  EXPECT_EQ(fit(samplePoints([](double x) { return std::sqrt(x); })).growth, Growth::BelowLinear);
  EXPECT_EQ(fit(samplePoints([](double x) { return std::pow(x, 1.5); })).growth, Growth::AboveLinear);
  EXPECT_EQ(fit(samplePoints([](double x) { return 3 + std::pow(x, 1.05); })).growth, Growth::Linear);
  EXPECT_EQ(fit(samplePoints([](double) { return 7.0; })).growth, Growth::Flat);
  EXPECT_EQ(fit(samplePoints([](double x) { return 100 / x; })).growth, Growth::Falls);
}

TEST(Fit, RequiresFiveDistinctValues) {
  EXPECT_THROW(fit({{1, 1}, {2, 2}, {3, 3}, {4, 4}, {4, 4}}), std::runtime_error);
}

TEST(Result, RecordsSurviveARoundTrip) {
  Record r;
  r.revision = "abc1234";
  r.scenario = "example";
  r.role = "supervisor";
  r.variable = "servers";
  r.value = 375;
  r.seed = 7;
  r.seconds = 9.5;
  r.sizes = {{"servers", 375}};
  r.metrics = {{"cpu_share", 0.0123}, {"first_list_bytes", 52452}};
  const std::string path = testing::TempDir() + "peargrade_results_" + std::to_string(getpid());
  {
    std::ofstream out(path);
    writeRecord(out, r);
    out << "{\"truncated\":\n";
  }
  try {
    readRecords(path);
    ADD_FAILURE() << "a truncated line was accepted";
  } catch (const std::runtime_error& e) {
    EXPECT_EQ(
        e.what(),
        path + ":2: found an invalid record, expected a JSON object as written by `peargrade_scale run`");
  }
  {
    std::ofstream out(path);
    writeRecord(out, r);
  }
  const auto all = readRecords(path);
  std::remove(path.c_str());
  ASSERT_EQ(all.size(), 1u);
  EXPECT_EQ(all[0].metrics, r.metrics);
  EXPECT_EQ(all[0].value, 375);
}

TEST(Result, QuantileIsOneOfTheValues) {
  EXPECT_EQ(quantile({3, 1, 2}, 0.5), 2);
  EXPECT_EQ(quantile({3, 1, 2}, 0.99), 3);
  EXPECT_EQ(quantile({}, 0.5), 0);
}

}  // namespace
}  // namespace peargrade::scale
