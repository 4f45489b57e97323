// Calls of unknown outcome, compared with a store that executes a random part of them.
#include "relay/call_log.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "support/loop.h"

namespace peargrade::relay {
namespace {

constexpr TableId kTables = 3;
constexpr int kServers = 3;

Command randomCommand(std::mt19937& random) {
  const auto table = static_cast<TableId>(random() % kTables);
  if (random() % 8 == 0) return *encodeCommand(ClearTable{table}, testNames());
  const std::string server = "s" + std::to_string(random() % kServers);
  const double weight = random() % 2 == 0 ? 0 : 1;
  return *encodeCommand(SetRoute{table, server, weight}, testNames());
}

/// A store and the log of a client that is told the outcome of some calls only.
class CallLogModel : public testing::TestWithParam<unsigned> {
 protected:
  CallLogModel() {
    for (TableId table = 0; table < kTables; ++table) store_[table] = accepted_[table] = {{"s0", 1}};
  }
  void apply(const Call& call, std::size_t length, Tables& tables) {
    for (std::size_t k = 0; k < length; ++k) {
      for (auto& [table, routes] : tables) applyCommand(call.commands[k], table, routes);
    }
  }
  Call nextCall() {
    Call call{++lastCall_, {}};
    for (std::size_t k = 0; k < 1 + random_() % 3; ++k) call.commands.push_back(randomCommand(random_));
    return call;
  }
  /// Sends a call, of which the store executes a part, and reports what the client learns of it.
  void send() {
    const Call call = nextCall();
    const std::size_t size = call.commands.size();
    log_.addCall(call, accepted_);
    const bool isExecuted = random_() % 2 == 0;
    const bool isAnswered = random_() % 3 == 0;
    if (isExecuted) {
      apply(call, size, store_);
      executed_.insert(call.id);
    }
    if (isExecuted && isAnswered) {
      apply(call, size, accepted_);
      log_.settle({call.id, CallOutcome::Executed, size});
    } else if (isAnswered) {
      log_.settle({call.id, CallOutcome::NotExecuted, 0});
    } else {
      log_.settle({call.id, CallOutcome::Unknown, 0});
    }
  }
  /// Checks what the log concludes from the store as it is.
  void checkEvidence() const {
    for (const auto& [table, routes] : store_) {
      const bool isKnown = sameRoutes(routes, accepted_.at(table));
      if (!log_.concerns(table)) {
        EXPECT_TRUE(isKnown) << "table " << table;
        continue;
      }
      EXPECT_TRUE(isKnown || log_.mayContain(table, routes)) << "table " << table;
      for (const CallId call : log_.callsShownBy(table, routes)) EXPECT_EQ(executed_.count(call), 1u) << call;
      for (const CallId call : log_.callsRefutedBy(table, routes))
        EXPECT_EQ(executed_.count(call), 0u) << call;
    }
  }
  void replay() {
    log_.hold(lastCall_ + 1);
    for (const auto& [table, routes] : store_) {
      accepted_[table] = log_.afterAcceptedCalls(table, routes);
      log_.rebase(table, routes, lastCall_ + 1);
    }
    log_.forgetBefore(lastCall_ + 1);
    log_.release();
  }

  std::mt19937 random_{GetParam()};
  CallLog log_;
  Tables store_;
  /// The store as far as calls were accepted.
  Tables accepted_;
  std::set<CallId> executed_;
  CallId lastCall_ = 0;
};

// Guards against: one call of unknown outcome is taken for the only one, so that another counts as executed.
TEST_P(CallLogModel, ConcludesOnlyWhatTheStoreShows) {
  for (int round = 0; round < 200 && !HasFailure(); ++round) {
    for (std::size_t calls = random_() % 5; calls > 0; --calls) {
      send();
      checkEvidence();
    }
    replay();
    EXPECT_EQ(log_.recordCount(), 0u) << "round " << round;
  }
}

// The limit drops the oldest call. What it may have changed is untraceable, and nothing is concluded from it.
TEST_P(CallLogModel, StaysBoundedAndConcludesNothingWrongBeyondItsLimit) {
  for (int round = 0; round < 20 && !HasFailure(); ++round) {
    for (std::size_t calls = 0; calls < 3 * CallLog::kCallsMax; ++calls) {
      send();
      EXPECT_LE(log_.unknownCalls(), CallLog::kCallsMax);
      for (const auto& [table, routes] : store_) {
        if (!log_.concerns(table)) continue;
        for (const CallId call : log_.callsShownBy(table, routes)) EXPECT_EQ(executed_.count(call), 1u);
        for (const CallId call : log_.callsRefutedBy(table, routes)) EXPECT_EQ(executed_.count(call), 0u);
      }
    }
    replay();
    EXPECT_EQ(log_.recordCount(), 0u) << "round " << round;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CallLogModel, testing::Range(1u, 11u),
                         [](const auto& info) { return "Seed" + std::to_string(info.param); });

TEST(CallLog, PartlyAcceptedCallLeavesOnlyItsRestUnknown) {
  const auto command = [](const Action& action) { return *encodeCommand(action, testNames()); };
  CallLog log;
  const Call call{1,
                  {command(SetRoute{0, "a", 1}), command(SetRoute{0, "b", 1}), command(SetRoute{0, "c", 1})}};
  log.addCall(call, {{0, {}}});
  log.settle({1, CallOutcome::Unknown, 1});
  EXPECT_FALSE(log.mayContain(0, {}));
  EXPECT_TRUE(log.mayContain(0, {{"a", 1}}));
  EXPECT_FALSE(log.mayContain(0, {{"a", 1}, {"b", 1}}));
  EXPECT_TRUE(log.mayContain(0, {{"a", 1}, {"b", 1}, {"c", 1}}));
}

TEST(CallLog, CallsDuringAReplayAreKeptUntilItEnds) {
  CallLog log;
  const Tables tables{{0, {{"a", 1}}}};
  log.hold(1);
  log.addCall({1, {*encodeCommand(SetRoute{0, "b", 1}, testNames())}}, tables);
  log.settle({1, CallOutcome::Executed, 1});
  EXPECT_TRUE(log.mayContain(0, {{"a", 1}})) << "the replay was read before the call";
  EXPECT_TRUE(log.mayContain(0, {{"a", 1}, {"b", 1}}));
  EXPECT_EQ(log.afterAcceptedCalls(0, {{"a", 1}}).size(), 2u);
  log.release();
  EXPECT_EQ(log.recordCount(), 0u);
}

}  // namespace
}  // namespace peargrade::relay
