// Retry policies that a simulated supervisor publishes.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

class RetryPolicyDecision : public testing::Test {
 protected:
  // Starts with 12 slices and runs until the first retry policy is set.
  void start() { supervisor.startAndRun(12, 6 * kSecond); }
  RetryPolicy policyOfClass0() { return supervisor.retryPolicies[{kAllTables, 0}]; }

  SimulatedSupervisor supervisor;
};

TEST_F(RetryPolicyDecision, RequestsThatAreNotIdempotentAreRetriedOnlyIfNotExecuted) {
  Settings settings = testSettings();
  settings.classes[1].idempotency = Idempotency::WithIdempotencyKey;
  settings.classes[1].deduplicationScope = DeduplicationScope::Cell;
  settings.classes[1].idempotencyKeyTtl = 2 * kSecond;
  supervisor = SimulatedSupervisor(settings);
  start();
  EXPECT_EQ(policyOfClass0(), RetryPolicy::AnyFailure);
  supervisor.setLatencies(4, 900 * kMillisecond);
  supervisor.run(6 * kSecond);
  for (const auto& [tableClass, policy] : supervisor.retryPolicies) {
    const int requestClass = tableClass.second;
    EXPECT_TRUE(requestClass == 0 || policy <= RetryPolicy::IfNotExecuted) << "class " << requestClass;
  }
}

// A retry after such a timeout would miss the latency objective and double the load.
TEST_F(RetryPolicyDecision, AttemptTimeoutBeyondTheLatencyObjectiveIsNotRetried) {
  Settings settings = testSettings();
  settings.attemptTimeoutObjectives = 1.2;
  supervisor = SimulatedSupervisor(settings);
  start();
  EXPECT_EQ(policyOfClass0(), RetryPolicy::IfNotExecuted);
}

TEST_F(RetryPolicyDecision, UnderOverloadRequestsAreRetriedOnlyIfNotExecuted) {
  start();
  for (int server = 0; server < 4; ++server)
    supervisor.setFailureRatio(SimulatedSupervisor::serverName(server), 0.4);
  supervisor.run(4 * kSecond);
  EXPECT_EQ(policyOfClass0(), RetryPolicy::IfNotExecuted);
}

TEST_F(RetryPolicyDecision, ConnectingProxyGetsThePolicyInForce) {
  start();
  supervisor.retryPolicies.clear();
  supervisor.handle({ProxyConnected{9, 0, 5, true}});
  supervisor.run(kSecond);
  EXPECT_EQ(policyOfClass0(), RetryPolicy::AnyFailure);
}

}  // namespace
}  // namespace peargrade
