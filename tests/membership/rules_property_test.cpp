// Random interleavings of observations: the rules of docs/membership.md hold after each reconciliation.
#include <gtest/gtest.h>

#include <algorithm>

#include "property_fixture.h"

namespace peargrade::membership {
namespace {

/// Applies steps and checks the rules against the applied roster and responses, which it records itself.
class RulesChecker : public SimulatedMembership {
 public:
  explicit RulesChecker(const Settings& settings)
      : SimulatedMembership(settings, {false, false}), settings_(settings) {}

  void run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      wait(kSecond);
      applyStep(step);
    }
  }

  void reconcile() override {
    const ServerList before = list;
    const std::size_t readyBefore = readyCount();
    const std::set<ServerId> leaving = leavingServers();
    const auto update = takeUpdate();
    if (update) checkRemovals(*update, before, leaving, readyBefore);
    if (isRecords(latestStep_)) RC_ASSERT(readyCount() >= std::min(readyBefore, settings_.minimumReady));
    checkRoster();
    checkExplanations();
    checkSchedule();
    RC_ASSERT(membership.readyCount() == readyCount());
  }

 private:
  static bool isRecords(Step::Kind kind) {
    return kind == Step::Kind::Complete || kind == Step::Kind::Partial;
  }

  void wait(Micros span) {
    latestStep_ = Step::Kind::Wait;
    advance(span);
    reconcile();
  }

  void applyStep(const Step& step) {
    latestStep_ = step.kind;
    switch (step.kind) {
      case Step::Kind::RosterDelta:
        membership.applyRoster(EndpointListKind::Delta, {rosterEntry(step.server, step.state)}, now);
        if (step.state == EndpointState::Removed)
          roster_.erase(step.server);
        else
          roster_[step.server] = step.state;
        return reconcile();
      case Step::Kind::RosterFull:
        return applyFullRoster(step.servers);
      case Step::Kind::Complete:
      case Step::Kind::Partial:
        recordResponse(step);
        membership.applyRecords(makeObservation(step, now), now);
        return reconcile();
      case Step::Kind::Wait:
        return wait(step.span);
    }
  }

  void applyFullRoster(const std::set<int>& servers) {
    std::vector<RosterEntry> entries;
    roster_.clear();
    for (const int k : servers) {
      entries.push_back(rosterEntry(k));
      roster_[k] = EndpointState::Ready;
    }
    membership.applyRoster(EndpointListKind::Full, entries, now);
    reconcile();
  }

  void recordResponse(const Step& step) {
    const bool complete = step.kind == Step::Kind::Complete;
    if (complete) ++completeResponses_;
    for (int k = 0; k < kServerCount; ++k) {
      if (step.servers.count(k) != 0)
        leftOutBy_[k].clear();
      else if (complete)
        leftOutBy_[k].insert(completeResponses_);
    }
  }

  // Servers that leave once others are ready, or in the next removal step.
  std::set<ServerId> leavingServers() const {
    std::set<ServerId> leaving;
    for (const Explanation& explanation : membership.explain(now)) {
      const bool leaves = explanation.rule == Rule::KeepLeast || explanation.rule == Rule::Leaving;
      if (leaves) leaving.insert(explanation.server);
    }
    return leaving;
  }

  // At most the configured share is removed at once, not counting servers that two responses left out.
  void checkRemovals(const MembershipUpdate& update, const ServerList& before,
                     const std::set<ServerId>& leaving, std::size_t readyBefore) {
    std::size_t removed = 0;
    std::size_t unconfirmed = 0;
    for (const Decision& decision : update.decisions) {
      if (decision.state != EndpointState::Removed || decision.rule != Rule::Removed) continue;
      for (int k = 0; k < kServerCount; ++k) {
        if (decision.server != socketAddress(k) || leaving.count(decision.server) != 0) continue;
        const auto found = before.find(decision.server);
        if (found == before.end() || found->second.state != EndpointState::Ready) continue;
        ++removed;
        if (leftOutBy_[k].size() < 2) ++unconfirmed;
      }
    }
    if (latestStep_ == Step::Kind::Partial) RC_ASSERT(removed == 0u);
    const double share = std::max(settings_.confirmationShare, settings_.removalStepShare);
    const double removableAtOnce = std::max(1.0, share * static_cast<double>(readyBefore));
    RC_ASSERT(static_cast<double>(unconfirmed) <= removableAtOnce);
  }

  void checkRoster() const {
    for (int k = 0; k < kServerCount; ++k) {
      const ServerId server = rosterId(k);
      const auto entry = roster_.find(k);
      RC_ASSERT(!isListed(server) || !isListed(socketAddress(k)));  // a server has one ID
      if (entry == roster_.end()) {
        RC_ASSERT(!isListed(server));
      } else if (entry->second == EndpointState::Draining) {
        RC_ASSERT(!isListed(socketAddress(k)));
        RC_ASSERT(isDraining(server));
      } else {
        RC_ASSERT(isReady(server));
      }
    }
  }

  const Settings settings_;
  Step::Kind latestStep_ = Step::Kind::RosterFull;
  std::map<int, EndpointState> roster_;  // as last applied
  /// For each server, the numbers of the complete responses that left it out since it was last listed.
  std::map<int, std::set<std::size_t>> leftOutBy_;
  std::size_t completeResponses_ = 0;
};

TEST(RulesProperty, HoldAfterEveryStep) {
  EXPECT_TRUE(rc::check("rules", [] {
    RulesChecker(Settings{}).run(*rc::gen::container<std::vector<Step>>(anyStep(Tiers::One)));
  }));
}

TEST(RulesProperty, HoldWithTiersOfServersThatOnlyRecordsList) {
  EXPECT_TRUE(rc::check("rules with tiers", [] {
    RulesChecker(Settings{}).run(*rc::gen::container<std::vector<Step>>(anyStep(Tiers::Several)));
  }));
}

TEST(RulesProperty, HoldWithOtherSettings) {
  EXPECT_TRUE(rc::check("rules with settings", [] {
    Settings settings;
    settings.confirmationShare = *rc::gen::element(0.0, 0.2, 1.0);
    settings.removalStepShare = *rc::gen::element(0.1, 0.5, 1.0);
    settings.minimumReady = *rc::gen::element<std::size_t>(0, 1, 3);
    settings.staleRetention = *rc::gen::element<Micros>(0, 5 * kSecond, 3600 * kSecond);
    settings.flapReturnsMax = *rc::gen::inRange(1, 4);
    RulesChecker(settings).run(*rc::gen::container<std::vector<Step>>(anyStep(Tiers::Several)));
  }));
}

}  // namespace
}  // namespace peargrade::membership
