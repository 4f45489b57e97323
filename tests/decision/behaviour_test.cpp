// The decisions of the module over an hour of simulated time, as hashes. They were recorded on commit 0e4fe96
// and hold while code is only made easier to read. A change of decisions that is meant records them anew and
// says so in its commit.
#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>
#include <utility>

#include "recorded_stream.h"

namespace peargrade::test {
namespace {

constexpr Micros kSpan = 300 * Micros{1000000};  // a deployment and seed: an hour over all twelve

class RecordedBehaviour : public testing::TestWithParam<int> {};

// Actions of each deployment, for the seeds 1 and 2.
const std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>& recordedHashes() {
  static const std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> hashes{
      {"SharedSlices", {0x58b98c76d0bd34cfULL, 0x4379e500b2feb09bULL}},
      {"PolledAdvisoryList", {0xd91ccba8d1aa90d0ULL, 0x4de4c7d600cbb0f3ULL}},
      {"SingleOwnerSlices", {0x4e2a01c4f7baf0b0ULL, 0xe1e40f670d75d3fbULL}},
      {"HealthChecks", {0x5c2bb241b26cc440ULL, 0xcc6a28eef2409930ULL}},
      {"LittleTraffic", {0x57e92c350e83c4a9ULL, 0x0e70af16b896a71aULL}},
      {"ProxyTables", {0xa6c4b3c22cce6204ULL, 0x0487a617fef2c696ULL}},
  };
  return hashes;
}

TEST_P(RecordedBehaviour, ActionsAreThoseRecorded) {
  const Deployment deployment = recordedDeployments().at(static_cast<std::size_t>(GetParam()));
  const auto& [first, second] = recordedHashes().at(deployment.name);
  EXPECT_EQ(actionHash(deployment, 1, kSpan), first) << deployment.name << ", seed 1";
  EXPECT_EQ(actionHash(deployment, 2, kSpan), second) << deployment.name << ", seed 2";
}

INSTANTIATE_TEST_SUITE_P(Deployments, RecordedBehaviour, testing::Range(0, 6),
                         [](const auto& info) { return recordedDeployments().at(info.param).name; });

}  // namespace
}  // namespace peargrade::test
