// Settings that change in the life of a supervisor: decisions follow the new ones, and only where they
// differ.
#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "support/scene.h"

namespace peargrade {
namespace {

// The only server drains, so that its slices have nowhere to go: the grace alone says when it is withdrawn.
TEST(SettingsChange, ADrainFollowsTheGraceThatIsInForce) {
  Settings settings = plainSettings();
  settings.drainGrace = 60 * kSecond;
  Scene s(settings, 1);
  s.start(4);
  s.run(2 * kSecond);
  s.tell("s_a", EndpointState::Draining);
  s.run(4 * kSecond);
  ASSERT_EQ(s.pulls, 0) << "within the grace of the start";
  settings.drainGrace = 2 * kSecond;
  s.feed({SettingsChanged{settings}});
  s.run(2 * kSecond);
  EXPECT_EQ(s.pulls, 1);
}

double meanLevel(Scene& s, int cls) {
  double sum = 0;
  for (int t = 0; t < 24; ++t) {
    const double own = s.levels.count({t, cls}) > 0 ? s.levels[{t, cls}] : 1;
    const double all = s.levels.count({kAllTables, cls}) > 0 ? s.levels[{kAllTables, cls}] : 1;
    sum += std::min(own, all) / 24;
  }
  return sum;
}

// What the constructor derives of the settings is derived anew: which class is refused first.
TEST(SettingsChange, RefusalsFollowTheWorthThatIsInForce) {
  Settings settings = plainSettings();
  Scene s(settings, 6);
  for (int t = 0; t < 24; ++t) s.rates[{t, 0}] = s.rates[{t, 1}] = 10;
  s.start(24);
  s.run(8 * kSecond);
  for (int i = 0; i < 6; ++i) s.latency[Scene::name(i)] = 1200 * kMs;
  s.run(20 * kSecond);
  ASSERT_LT(meanLevel(s, 0), 0.7);
  ASSERT_GT(meanLevel(s, 1), meanLevel(s, 0));
  settings.classes[0].priorityWeight = 100;
  settings.classes[1].priorityWeight = 1;
  s.feed({SettingsChanged{settings}});
  s.run(10 * kSecond);
  EXPECT_LT(meanLevel(s, 1), meanLevel(s, 0)) << "the class that is worth less now";
}

// The rule for further tries stands at the proxies until it is ordered anew.
TEST(SettingsChange, AClassThatMayNotBeRepeatedAnyMoreIsToldToTheProxies) {
  Settings settings = plainSettings();
  Scene s(settings);
  s.start(24);
  s.run(4 * kSecond);
  ASSERT_EQ((s.tries[{kAllTables, 0}]), RetryPolicy::AnyFailure);
  settings.classes[0].idempotency = Idempotency::NonIdempotent;
  s.feed({SettingsChanged{settings}});
  s.run(2 * kSecond);
  EXPECT_EQ((s.tries[{kAllTables, 0}]), RetryPolicy::IfNotExecuted);
}

TEST(SettingsChange, WithAnotherNumberOfClassesItIsLeftOut) {
  Settings settings = plainSettings();
  Scene s(settings);
  s.start(24);
  s.run(2 * kSecond);
  settings.classes.resize(1);
  settings.classes[0].idempotency = Idempotency::NonIdempotent;
  s.feed({SettingsChanged{settings}});
  s.run(4 * kSecond);
  EXPECT_EQ((s.tries[{kAllTables, 0}]), RetryPolicy::AnyFailure);
}

// Property: the same settings told again, at any time, change no action. One life is told, its twin is not.
TEST(SettingsChange, TheSameSettingsChangeNoAction) {
  const unsigned seed = std::random_device{}();
  std::cout << "seed " << seed << '\n';
  std::mt19937 random(seed);
  for (int life = 0; life < 20; ++life) {
    Scene told(plainSettings(), 6, seed), twin(plainSettings(), 6, seed);
    told.start(24);
    twin.start(24);
    for (int step = 0; step < 120; ++step) {
      const std::string server = Scene::name(static_cast<int>(random() % 6));
      const Micros latency = static_cast<Micros>(50 + random() % 1500) * kMs;
      const unsigned what = random() % 20;
      for (Scene* s : {&told, &twin}) {
        if (what == 0) s->tell(server, EndpointState::Draining);
        if (what == 1) s->tell(server, EndpointState::Ready, s->now - 3 * kSecond);
        if (what < 6) s->latency[server] = latency;
      }
      EXPECT_TRUE(told.feed({SettingsChanged{told.settings}}).empty()) << seed;
      told.run(250 * kMs);
      twin.run(250 * kMs);
      ASSERT_EQ(told.tables, twin.tables) << "seed " << seed << " life " << life << " step " << step;
      ASSERT_EQ(told.levels, twin.levels) << "seed " << seed << " life " << life << " step " << step;
      ASSERT_EQ(told.tries, twin.tries) << "seed " << seed << " life " << life << " step " << step;
      ASSERT_EQ(told.logs, twin.logs) << "seed " << seed << " life " << life << " step " << step;
      ASSERT_EQ(told.messagesAt, twin.messagesAt) << "seed " << seed << " life " << life << " step " << step;
    }
  }
}

}  // namespace
}  // namespace peargrade
