#include "scale/scenario.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace peargrade::scale {
namespace {

const std::string kScenarioText = R"(version 1
name "example"
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

std::string parseError(const std::string& text) {
  try {
    parseScenario(text, "some.kdl");
  } catch (const ScenarioError& e) {
    return e.what();
  }
  return "accepted";
}

std::string withReplacement(const std::string& original, const std::string& replacement) {
  std::string text = kScenarioText;
  const auto at = text.find(original);
  return at == std::string::npos ? "text to replace not found"
                                 : text.replace(at, original.size(), replacement);
}

TEST(Scenario, ParsesSettingsAndDefaults) {
  const Scenario s = parseScenario(kScenarioText, "some.kdl");
  EXPECT_EQ(s.name, "example");
  EXPECT_EQ(s.sizes.supervisors, 3);
  EXPECT_EQ(s.sizes.servers, 40);
  EXPECT_EQ(s.sizes.proxies, 10);
  EXPECT_EQ(s.measurement, 4000000);
  ASSERT_EQ(s.events.size(), 1u);
  EXPECT_EQ(s.events[0].kind, EventKind::Change);
  EXPECT_EQ(s.events[0].at, 1000000);
  EXPECT_EQ(s.events[0].count, 2);
}

TEST(Scenario, ErrorsNameFileLineAndExpectedValue) {
  EXPECT_EQ(parseError(withReplacement("supervisors 3", "supervisors \"many\"")),
            "some.kdl:4:17: sizes.supervisors: found \"many\", expected a whole number from 1 to 2000");
  EXPECT_EQ(parseError(withReplacement("servers 40", "servers 0")),
            "some.kdl:5:13: sizes.servers: found 0, expected a whole number from 1 to 20000");
  EXPECT_EQ(parseError(withReplacement("zones 6", "zone 6")).substr(0, 38),
            "some.kdl:6:5: sizes: found 'zone', exp");
  EXPECT_EQ(parseError(withReplacement("\"change\"", "\"earthquake\"")).substr(0, 14), "some.kdl:11:7:");
  EXPECT_EQ(parseError(withReplacement("at=\"1s\"", "at=\"5s\"")),
            "some.kdl:11:1: event.at: found 5000ms, expected a time within run.measured, 4000ms");
  EXPECT_EQ(parseError(withReplacement("zones 6", "zones 6\n    machines 4")),
            "some.kdl:7:14: sizes.machines: found 4, expected no more than the number of supervisors, 3");
  EXPECT_EQ(parseError("").substr(0, 9), "some.kdl:");
}

TEST(Scenario, RejectsAFleetThatIsTooLargeForTheHost) {
  const auto hostError = [](const Scenario& s, const HostInfo& host) -> std::string {
    try {
      checkFitsHost(s, host);
    } catch (const ScenarioError& e) {
      return e.what();
    }
    return "accepted";
  };
  Scenario s = parseScenario(kScenarioText, "some.kdl");
  const HostInfo smallHost{8, std::int64_t{1} << 30, 20000};
  EXPECT_EQ(hostError(s, smallHost), "accepted");
  s.sizes.supervisors = 550;
  s.sizes.servers = 1500;
  const std::string message = hostError(s, smallHost);
  EXPECT_EQ(message.substr(0, 44), "some.kdl:3:1: sizes: found a fleet of about ");
  EXPECT_NE(message.find(" MB, expected no more than half of this host's memory, 512 MB"), std::string::npos)
      << message;
  EXPECT_EQ(hostError(s, {8, std::int64_t{24} << 30, 20000}), "accepted");
  s = parseScenario(kScenarioText, "some.kdl");
  s.sizes.supervisors = s.sizes.real = 210;
  EXPECT_NE(hostError(s, {8, std::int64_t{24} << 30, 20000}).find("expected no more than run.processes, 200"),
            std::string::npos);
  s.sizes.real = 0;
  EXPECT_NE(hostError(s, {8, std::int64_t{24} << 30, 1000})
                .find("no more than the limit of a process on this host, 1000"),
            std::string::npos);
}

TEST(Scenario, SweepsSetSizesAndRatesByName) {
  Scenario s = parseScenario(kScenarioText, "some.kdl");
  setVariable(s, "servers", 94);
  EXPECT_EQ(s.sizes.servers, 94);
  EXPECT_EQ(variableValue(s, "servers"), 94);
  setVariable(s, "real", 20);
  setVariable(s, "supervisors", 30);
  clampDependentSizes(s);
  EXPECT_EQ(s.sizes.real, 20);
  setVariable(s, "supervisors", 10);
  clampDependentSizes(s);
  EXPECT_EQ(s.sizes.real, 10);
  EXPECT_THROW(setVariable(s, "unknown", 3), ScenarioError);
  EXPECT_THROW(setVariable(s, "servers", 0), ScenarioError);
}

TEST(Scenario, ScenariosOfTheRepositoryAreValid) {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(PEARGRADE_SCENARIOS)) {
    EXPECT_NO_THROW(loadScenario(entry.path())) << entry.path();
    ++count;
  }
  EXPECT_GE(count, 2);
}

}  // namespace
}  // namespace peargrade::scale
