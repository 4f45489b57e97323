#include "scale/scenario.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace peargrade::scale {
namespace {

const std::string kWhole = R"(version 1
name "whole"
sizes {
    supervisors 3
    servers 40
    zones 6
}
run {
    measured "4s"
}
event "change" at="1s" count=2
)";

std::string refusal(const std::string& text) {
  try {
    parseScenario(text, "some.kdl");
  } catch (const Wrong& e) {
    return e.what();
  }
  return "taken";
}

std::string with(const std::string& part, const std::string& other) {
  std::string text = kWhole;
  const auto at = text.find(part);
  return at == std::string::npos ? "no such part" : text.replace(at, part.size(), other);
}

TEST(Scenario, IsReadWithItsStandards) {
  const Scenario s = parseScenario(kWhole, "some.kdl");
  EXPECT_EQ(s.name, "whole");
  EXPECT_EQ(s.sizes.supervisors, 3);
  EXPECT_EQ(s.sizes.servers, 40);
  EXPECT_EQ(s.sizes.proxies, 10);
  EXPECT_EQ(s.measured, 4000000);
  ASSERT_EQ(s.events.size(), 1u);
  EXPECT_EQ(s.events[0].what, Happening::Change);
  EXPECT_EQ(s.events[0].at, 1000000);
  EXPECT_EQ(s.events[0].count, 2);
}

TEST(Scenario, WhatIsWrongIsRefusedWithFileLineAndWhatIsExpected) {
  EXPECT_EQ(refusal(with("supervisors 3", "supervisors \"many\"")),
            "some.kdl:4:17: sizes.supervisors: found \"many\", expected a whole number from 1 to 2000");
  EXPECT_EQ(refusal(with("servers 40", "servers 0")),
            "some.kdl:5:13: sizes.servers: found 0, expected a whole number from 1 to 20000");
  EXPECT_EQ(refusal(with("zones 6", "zone 6")).substr(0, 38), "some.kdl:6:5: sizes: found 'zone', exp");
  EXPECT_EQ(refusal(with("\"change\"", "\"earthquake\"")).substr(0, 14), "some.kdl:11:7:");
  EXPECT_EQ(refusal(with("at=\"1s\"", "at=\"5s\"")),
            "some.kdl:11:1: event.at: found 5000ms, expected a time within run.measured, 4000ms");
  EXPECT_EQ(refusal(with("zones 6", "zones 6\n    machines 4")),
            "some.kdl:7:14: sizes.machines: found 4, expected no more than supervisors, which are 3");
  EXPECT_EQ(refusal("").substr(0, 9), "some.kdl:");
}

TEST(Scenario, WhatIsTooLargeIsRefusedBeforeItStarts) {
  const auto refused = [](const Scenario& s, const Machine& machine) -> std::string {
    try {
      refuseTooLarge(s, machine);
    } catch (const Wrong& e) {
      return e.what();
    }
    return "taken";
  };
  Scenario s = parseScenario(kWhole, "some.kdl");
  const Machine small{8, std::int64_t{1} << 30, 20000};
  EXPECT_EQ(refused(s, small), "taken");
  s.sizes.supervisors = 550;
  s.sizes.servers = 1500;
  const std::string words = refused(s, small);
  EXPECT_EQ(words.substr(0, 44), "some.kdl:3:1: sizes: found a fleet of about ");
  EXPECT_NE(words.find(" MB, expected no more than half of this machine's memory, 512 MB"), std::string::npos)
      << words;
  EXPECT_EQ(refused(s, {8, std::int64_t{24} << 30, 20000}), "taken");
  s = parseScenario(kWhole, "some.kdl");
  s.sizes.supervisors = s.sizes.real = 210;
  EXPECT_NE(refused(s, {8, std::int64_t{24} << 30, 20000}).find("expected no more than run.processes, 200"),
            std::string::npos);
  s.sizes.real = 0;
  EXPECT_NE(refused(s, {8, std::int64_t{24} << 30, 1000}).find("no more than a process may hold here, 1000"),
            std::string::npos);
}

TEST(Scenario, AVariableOfASweepIsOneOfTheFile) {
  Scenario s = parseScenario(kWhole, "some.kdl");
  set(s, "servers", 94);
  EXPECT_EQ(s.sizes.servers, 94);
  EXPECT_EQ(valueOf(s, "servers"), 94);
  set(s, "real", 20);
  set(s, "supervisors", 30);
  trim(s);
  EXPECT_EQ(s.sizes.real, 20);
  set(s, "supervisors", 10);
  trim(s);
  EXPECT_EQ(s.sizes.real, 10);
  EXPECT_THROW(set(s, "moons", 3), Wrong);
  EXPECT_THROW(set(s, "servers", 0), Wrong);
}

TEST(Scenario, ThoseOfTheRepositoryAreGood) {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(PEARGRADE_SCENARIOS)) {
    EXPECT_NO_THROW(loadScenario(entry.path())) << entry.path();
    ++count;
  }
  EXPECT_GE(count, 2);
}

}  // namespace
}  // namespace peargrade::scale
