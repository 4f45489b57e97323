// EndpointList: subscription, backoff, and application of updates to the server records.
#include "decision/endpoint_list.h"

#include "component_fixture.h"

namespace peargrade::decision {
namespace {

class EndpointListTest : public ComponentFixture {
 protected:
  EndpointListUpdate update(EndpointListKind kind, EndpointState state = EndpointState::Ready,
                            Micros startedAt = 0) {
    Endpoint endpoint;
    endpoint.server = "a";
    endpoint.state = state;
    endpoint.startedAt = startedAt;
    return {kind, 0, {endpoint}};
  }
  bool subscribes() {
    endpoints_.refresh(clock_.now(), actions_);
    return !actions_.take().empty();
  }
};

TEST_F(EndpointListTest, FailedRequestIsRepeatedWithExponentialBackoffAndJitter) {
  settings_.endpointsOnRequest = true;
  settings_.pollDeadline = 10 * kSecond;
  EXPECT_TRUE(subscribes());
  EXPECT_FALSE(subscribes()) << "the subscription is active";
  Micros maxBackoff = 500 * kMillisecond;
  for (int failure = 0; failure < 6; ++failure) {
    endpoints_.apply({EndpointListKind::Failed, 0, {}}, servers_);
    const Micros failedAt = clock_.now();
    clock_.advanceTo(failedAt + maxBackoff / 2 - 1);
    EXPECT_FALSE(subscribes()) << failure;
    clock_.advanceTo(failedAt + maxBackoff);
    EXPECT_TRUE(subscribes()) << failure;
    maxBackoff = std::min(2 * maxBackoff, settings_.pollDeadline / 4);
  }
}

TEST_F(EndpointListTest, CachedListConfirmsItsServersButIsNotCurrent) {
  endpoints_.apply(update(EndpointListKind::Cached), servers_);
  EXPECT_TRUE(servers_["a"].isConfirmed);
  EXPECT_FALSE(endpoints_.isCurrent());
  endpoints_.apply(update(EndpointListKind::Delta), servers_);
  EXPECT_TRUE(endpoints_.isCurrent());
}

TEST_F(EndpointListTest, PushedCachedListIsCurrentAfterHalfASecond) {
  const Micros startedAt = clock_.now();
  endpoints_.apply(update(EndpointListKind::Cached), servers_);
  clock_.advanceTo(startedAt + 500 * kMillisecond);
  endpoints_.refresh(startedAt, actions_);
  EXPECT_FALSE(endpoints_.isCurrent());
  clock_.advanceTo(startedAt + 500 * kMillisecond + 1);
  endpoints_.refresh(startedAt, actions_);
  EXPECT_TRUE(endpoints_.isCurrent());
}

TEST_F(EndpointListTest, ServerMissingFromAFullListIsNotReady) {
  endpoints_.apply(update(EndpointListKind::Delta), servers_);
  endpoints_.apply({EndpointListKind::Full, 0, {}}, servers_);
  EXPECT_FALSE(servers_["a"].isReady());
}

TEST_F(EndpointListTest, LaterStartTimeResetsTheServerRecord) {
  endpoints_.apply(update(EndpointListKind::Delta), servers_);
  servers_["a"].admission.heatLimit = 1;
  endpoints_.apply(update(EndpointListKind::Delta, EndpointState::Ready, 999 * kSecond), servers_);
  EXPECT_EQ(servers_["a"].admission.heatLimit, 0);
  EXPECT_EQ(servers_["a"].changedAt, clock_.now());
}

TEST_F(EndpointListTest, RollingRestartEndsTenSecondsAfterTheLastDrain) {
  EXPECT_FALSE(endpoints_.isRollingRestart());
  endpoints_.apply(update(EndpointListKind::Delta, EndpointState::Draining), servers_);
  const Micros drainedAt = clock_.now();
  clock_.advanceTo(drainedAt + 10 * kSecond - 1);
  EXPECT_TRUE(endpoints_.isRollingRestart());
  clock_.advanceTo(drainedAt + 10 * kSecond);
  EXPECT_FALSE(endpoints_.isRollingRestart());
}

}  // namespace
}  // namespace peargrade::decision
