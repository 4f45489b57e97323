// Every pair of troubles at once, without the bench: whatever overlaps, the rules that one supervisor can
// keep alone are kept, and the tables end up on servers that are listed as ready.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/scene.h"

namespace peargrade {
namespace {

struct Trouble {
  const char* name;
  void (*begin)(Scene&);
};

// s_e drains in every case, so that there is always a drain to keep.
const Trouble kTroubles[] = {
    {"FailingFast", [](Scene& s) { s.bad("s_b", 0.9); }},
    {"Silence", [](Scene& s) { s.bad("s_c", 1); }},
    {"OneSlow", [](Scene& s) { s.latency["s_a"] = 900 * kMs; }},
    {"SomeSlow", [](Scene& s) { s.latency["s_a"] = s.latency["s_c"] = 700 * kMs; }},
    {"AllSlow",
     [](Scene& s) {
       for (int i = 0; i < 6; ++i) s.latency[Scene::name(i)] = 800 * kMs;
     }},
    {"BadFromOneZone",
     [](Scene& s) {
       for (int i = 0; i < 6; ++i) s.badShare[{Scene::name(i), 1}] = 1;
     }},
    {"BunchedReports",
     [](Scene& s) {
       std::vector<Event> ev;
       s.now += 3 * kSecond;
       for (int i = 0; i < 6; ++i) s.report(ev);
       s.feed(ev);
     }},
    {"MissingReports", [](Scene& s) { s.reporting = false; }},
    {"LostStreams",
     [](Scene& s) {
       s.feed({ProxyDisconnected{0}, ProxyDisconnected{1}});
       s.run(kSecond);
       s.feed({ProxyConnected{0, 0, 5, false}, ProxyConnected{1, 1, 5, false}});
     }},
    {"BackWithAnOldList", [](Scene& s) { s.restartWith(s.oldList); }},
    {"ServerBackCold", [](Scene& s) { s.tell("s_d", EndpointState::Ready, s.now - 400 * kMs); }},
    {"ServerGone", [](Scene& s) { s.tell("s_f", EndpointState::Removed); }},
    {"SlicesChangeHands",
     [](Scene& s) {
       std::vector<Event> ev;
       for (int t = 0; t < 4; ++t) ev.push_back(SliceAssignment{t, false});
       for (int t = 18; t < 22; ++t) {
         ev.push_back(SliceAssignment{t, true});
         ev.push_back(StoredRoute{t, "s_d", 1});
         s.tables[t] = {{"s_d", 1}};
       }
       s.feed(ev);
     }},
    {"ListFails",
     [](Scene& s) {
       s.feed({EndpointListUpdate{EndpointListKind::Failed, 0, {}}});
     }},
};
constexpr int kKinds = sizeof kTroubles / sizeof kTroubles[0];

class Pairs : public testing::TestWithParam<std::pair<int, int>> {};

std::vector<std::pair<int, int>> allPairs() {
  std::vector<std::pair<int, int>> pairs;
  for (int a = 0; a < kKinds; ++a) {
    for (int b = a + 1; b < kKinds; ++b) pairs.emplace_back(a, b);
  }
  return pairs;
}

void playPair(int a, int b, const Settings& settings) {
  SCOPED_TRACE(std::string(kTroubles[a].name) + " with " + kTroubles[b].name);
  Scene s(settings, 6);
  s.start(18);
  s.run(8 * kSecond);
  s.oldList = s.news(EndpointListKind::Cached);
  kTroubles[a].begin(s);
  s.tell("s_e", EndpointState::Draining);
  s.run(kSecond);
  kTroubles[b].begin(s);
  s.feed({s.news(EndpointListKind::Full)});
  s.run(settings.drainGrace - settings.pushDelayMax);
  for (int t : s.charge) EXPECT_EQ(s.tables[t].count("s_e"), 0u) << "drain not kept, slice " << t;
  s.run(20 * kSecond);
  for (int t : s.charge) {
    ASSERT_FALSE(s.tables[t].empty()) << "bare, slice " << t;
    ASSERT_EQ(s.list.count(s.home(t)), 1u) << "on a server that is gone, slice " << t;
    EXPECT_EQ(s.list[s.home(t)].state, EndpointState::Ready) << "slice " << t;
  }
  EXPECT_TRUE(s.strayOrders.empty()) << "orders for a slice not in charge, first " << *s.strayOrders.begin();
  for (Micros at : s.messagesAt) {
    int within = 0;
    for (Micros other : s.messagesAt) within += other >= at && other < at + settings.messageWindow;
    EXPECT_LE(within, settings.messagesPerProxyMax);
  }
}

TEST_P(Pairs, KeepTheRules) { playPair(GetParam().first, GetParam().second, plainSettings()); }

// The same on a channel that sends a twentieth of the lines and may hold few: what cannot be put off still
// goes.
TEST_P(Pairs, KeepTheRulesOnASlowChannel) {
  Settings settings = plainSettings();
  settings.routesPerSecond = 1500;
  settings.pendingRoutesMax = 1500;
  playPair(GetParam().first, GetParam().second, settings);
}

INSTANTIATE_TEST_SUITE_P(All, Pairs, testing::ValuesIn(allPairs()), [](const auto& info) {
  return std::string(kTroubles[info.param.first].name) + "And" + kTroubles[info.param.second].name;
});

// The same overlaps give the same actions when played again.
TEST(AllTroubles, AreRepeatable) {
  auto play = [] {
    Scene s(plainSettings(), 6);
    s.start(18);
    s.run(5 * kSecond);
    for (const Trouble& t : kTroubles) {
      s.oldList = s.news(EndpointListKind::Cached);
      t.begin(s);
      s.run(kSecond);
    }
    return std::make_pair(s.tables, s.logs);
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace peargrade
