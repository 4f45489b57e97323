// OutlierDetector and TrialBudget: outliers, health checks, and trial slices on unconfirmed servers.
#include <gtest/gtest.h>

#include "component_settings.h"
#include "decision/outlier_detector.h"
#include "decision/trial_budget.h"

namespace peargrade::decision {
namespace {

class OutlierDetectorTest : public testing::Test {
 protected:
  OutlierDetectorTest() {
    clock_.advanceTo(1000 * kSecond);
    servers_["a"] = usableServer();
  }
  /// Evaluates server "a" with the attempts `own`, in a fleet whose other servers have 100 attempts in total.
  bool isOutlier(AttemptCounts own, double failuresOfOthers = 0, double pressure = 0) {
    servers_["a"] = usableServer();
    servers_["a"].reports.counts = own;
    servers_["a"].reports.pressure = pressure;
    detector_.detect(servers_, {own.attempts + 100, own.failures + failuresOfOthers});
    return servers_["a"].outlier.isOutlier();
  }

  Settings settings_ = componentSettings();
  Clock clock_;
  ActionQueue actions_;
  ServerMap servers_;
  OutlierDetector detector_{settings_, clock_, actions_};
};

TEST_F(OutlierDetectorTest, SixAttemptsWithFourTenthsFailedMakeAnOutlier) {
  EXPECT_TRUE(isOutlier({6, 2.41}));
  EXPECT_FALSE(isOutlier({5.9, 5.9})) << "too few attempts";
  EXPECT_FALSE(isOutlier({100, 39}));
}

TEST_F(OutlierDetectorTest, NoOutlierIfOtherServersFailMoreThanAThirdAsOften) {
  EXPECT_TRUE(isOutlier({100, 60}, 19));
  EXPECT_FALSE(isOutlier({100, 60}, 21));
}

TEST_F(OutlierDetectorTest, SlowServerThatStillAnswersIsOverloadedRatherThanAnOutlier) {
  EXPECT_FALSE(isOutlier({1000, 799}, 0, 0.31));
  EXPECT_TRUE(isOutlier({1000, 801}, 0, 0.31)) << "less than a fifth of the attempts succeed";
  EXPECT_TRUE(isOutlier({1000, 799}, 0, 0.29)) << "fast errors are not caused by overload";
}

TEST_F(OutlierDetectorTest, OutlierIsReleasedAndItsReportsDiscardedAfterEightSeconds) {
  ASSERT_TRUE(isOutlier({100, 60}));
  servers_["a"].reports.byProxyZone[0] = {};
  clock_.advanceTo(1008 * kSecond - 1);
  detector_.detect(servers_, {200, 60});
  EXPECT_TRUE(servers_["a"].outlier.isOutlier());
  clock_.advanceTo(1008 * kSecond);
  detector_.detect(servers_, {200, 60});
  EXPECT_FALSE(servers_["a"].outlier.isOutlier());
  EXPECT_TRUE(servers_["a"].reports.byProxyZone.empty());
  EXPECT_EQ(servers_["a"].changedAt, 1008 * kSecond);
}

TEST_F(OutlierDetectorTest, RemovedServerThatStillAnswersIsPresumedAliveIfRemovalIsAdvisory) {
  settings_.removalIsAdvisory = true;
  isOutlier({1000, 799}, 90);
  EXPECT_TRUE(servers_["a"].isPresumedAlive);
  isOutlier({1000, 801}, 90);
  EXPECT_FALSE(servers_["a"].isPresumedAlive);
  settings_.removalIsAdvisory = false;
  isOutlier({100, 0}, 0);
  EXPECT_FALSE(servers_["a"].isPresumedAlive);
}

TEST_F(OutlierDetectorTest, HealthChecksOfAnUnconfirmedServerAreSentAtGrowingIntervals) {
  settings_.healthChecksAllowed = true;
  servers_["a"].isConfirmed = false;
  servers_["a"].firstSeenAt = 1000 * kSecond;
  std::vector<Micros> checkedAt;
  for (Micros at = 0; at <= 4 * kSecond; at += 250 * kMillisecond) {
    clock_.advanceTo(1000 * kSecond + at);
    detector_.detect(servers_, {});
    if (!actions_.take().empty()) checkedAt.push_back(at / kMillisecond);
  }
  EXPECT_EQ(checkedAt, (std::vector<Micros>{0, 500, 1000, 2000, 4000}));
}

class TrialBudgetTest : public testing::Test {
 protected:
  TrialBudgetTest() {
    clock_.advanceTo(1000 * kSecond);
    servers_["new"] = usableServer();
    servers_["new"].isConfirmed = false;
    servers_["old"] = usableServer();
    for (TableId table = 0; table < 20; ++table) slices_.emplace(table, publishedSlice("old"));
  }
  bool canTrial() {
    trials_.count(servers_, slices_);
    return trials_.canTrial(servers_["new"]);
  }

  Settings settings_ = componentSettings();
  Clock clock_;
  TrialBudget trials_{settings_, clock_};
  ServerMap servers_;
  SliceMap slices_;
};

TEST_F(TrialBudgetTest, ATenthOfTheSlicesMayBeOnTrial) {
  ASSERT_TRUE(canTrial());
  trials_.recordMigration(servers_["new"]);
  EXPECT_TRUE(trials_.canTrial(servers_["new"])) << "1 of 20";
  trials_.recordMigration(servers_["old"]);
  EXPECT_TRUE(trials_.canTrial(servers_["new"])) << "a confirmed server needs no trial";
  trials_.recordMigration(servers_["new"]);
  EXPECT_FALSE(trials_.canTrial(servers_["new"])) << "2 of 20";
}

TEST_F(TrialBudgetTest, TrialsAreUnlimitedIfAsManyServersDepartedAsAreUnconfirmed) {
  for (TableId table = 0; table < 20; ++table) slices_.at(table).primary = "new";
  EXPECT_FALSE(canTrial());
  servers_["old"].departedAt = 971 * kSecond;
  EXPECT_TRUE(canTrial());
  servers_["old"].departedAt = 970 * kSecond;
  EXPECT_FALSE(canTrial()) << "departed 30 s ago";
}

TEST_F(TrialBudgetTest, NoTrialsIfHealthChecksAreAllowed) {
  settings_.healthChecksAllowed = true;
  EXPECT_FALSE(canTrial());
}

}  // namespace
}  // namespace peargrade::decision
