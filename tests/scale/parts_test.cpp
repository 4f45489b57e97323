// The parts of the fleet by themselves: what the checks see when a rule is broken, and what becomes of a part
// that fails or is lost.
#include <gtest/gtest.h>

#include "scale/collectorpart.h"
#include "scale/discoverypart.h"
#include "scale/relaypart.h"
#include "scale/world.h"
#include "support/loop.h"

namespace peargrade::scale {
namespace {

Scenario small(int servers) {
  return parseScenario("version 1\nname \"small\"\nsizes {\n servers " + std::to_string(servers) +
                           "\n proxies 3\n slices 1\n}\n",
                       "small.kdl");
}

TEST(RelayPart, SeesASliceWithoutAUsableLineAndALineThatStaysAtADrain) {
  Loop loop;
  const Scenario scenario = small(10);
  RelayPart part(loop.base.get(), scenario);
  const int home = homeOf(scenario, 0, 0);
  part.on({"server", std::to_string(home), "0"});
  loop.until([] { return false; }, 1300000);
  // Nobody is there who could act.
  EXPECT_EQ(one(part.on({"sample"}), "bare_most_s"), 0);
  EXPECT_EQ(one(part.on({"sample"}), "stale_most_s"), 0);
  fakes::Collector supervisor(
      loop.base.get(), {"127.0.0.1", static_cast<std::uint16_t>(part.on({"addresses"}).at("port").at(0))});
  supervisor.sendRaw("WATCH\r\n");
  EXPECT_TRUE(loop.until([&] { return one(part.on({"sample"}), "bare_most_s") > 0.2; }));
  EXPECT_GT(one(part.on({"sample"}), "stale_most_s"), 0.2);
  part.on({"server", std::to_string(home), "1"});
  const double bare = one(part.on({"sample"}), "bare_most_s");
  loop.until([] { return false; }, 300000);
  EXPECT_EQ(one(part.on({"sample"}), "bare_most_s"), bare);
}

TEST(DiscoveryPart, AChangeAltersOneEntryAndTheDigest) {
  Loop loop;
  const Scenario scenario = small(10);
  DiscoveryPart part(loop.base.get(), scenario);
  const auto before = part.on({"digest"}).at("hash");
  const Figures drained = part.on({"change", "1"});
  EXPECT_EQ(one(drained, "drains"), 1);
  EXPECT_NE(part.on({"digest"}).at("hash"), before);
  // A tenth of the ten is one: it serves again before the next drains.
  const Figures back = part.on({"change", "1"});
  EXPECT_EQ(one(back, "drains"), 0);
  EXPECT_EQ(one(back, "server"), one(drained, "server"));
  EXPECT_EQ(part.on({"digest"}).at("hash"), before);
}

TEST(CollectorPart, CountsPeriodsThatItCannotKeepUpWith) {
  Loop loop;
  Scenario scenario = small(10);
  scenario.reportsEvery = 100000;
  CollectorPart part(loop.base.get(), scenario);
  loop.until([] { return false; }, 150000);
  usleep(600000);  // the process stands still
  EXPECT_TRUE(loop.until([&] { return one(part.on({"sample"}), "late_periods") >= 4; }));
}

class Echo : public Part {
 public:
  Figures on(const Words& words) override {
    if (words.at(0) == "fail") throw std::runtime_error("as it was asked");
    return {{words.at(0), {1, 2.5}}, {"none", {}}};
  }
};

TEST(Child, AnswersFailsAndIsLost) {
  Child child(
      "echo", [](event_base*) { return std::make_unique<Echo>(); }, net::steadyNow() + 20000000);
  const Figures answer = child.ask("some");
  EXPECT_EQ(answer.at("some"), (std::vector<double>{1, 2.5}));
  EXPECT_TRUE(answer.at("none").empty());
  try {
    child.ask("fail");
    ADD_FAILURE() << "a failure was not told";
  } catch (const Failed& e) {
    EXPECT_STREQ(e.what(), "echo: as it was asked");
  }
  EXPECT_EQ(one(child.ask("still"), "still"), 1);
  child.kill();
  EXPECT_THROW(child.ask("some"), Failed);
}

class Ending : public Part {
 public:
  Figures on(const Words&) override { _exit(3); }
};

TEST(Child, OneThatEndsByItselfIsNoticed) {
  Child child(
      "ending", [](event_base*) { return std::make_unique<Ending>(); }, net::steadyNow() + 20000000);
  EXPECT_NO_THROW(child.check());
  EXPECT_THROW(child.ask("some"), Failed);
  const Micros end = net::steadyNow() + 5000000;
  const auto noticed = [&] {
    try {
      child.check();
      return false;
    } catch (const Failed&) {
      return true;
    }
  };
  while (!noticed() && net::steadyNow() < end) usleep(1000);
  EXPECT_LT(net::steadyNow(), end);
}

TEST(Child, WhatCannotBeMadeSaysWhy) {
  Child child(
      "broken", [](event_base*) -> std::unique_ptr<Part> { throw std::runtime_error("no such part"); },
      net::steadyNow() + 20000000);
  try {
    child.ask("some");
    ADD_FAILURE() << "it answered";
  } catch (const Failed& e) {
    EXPECT_STREQ(e.what(), "broken: no such part");
  }
}

}  // namespace
}  // namespace peargrade::scale
