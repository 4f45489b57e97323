// Runs of a small simulated fleet: exact counts of the messages and bytes that a supervisor costs its peers,
// small versions of the load tests in scale/scenarios, and the time limit of a run.
#include "scale/fleet.h"

#include <gtest/gtest.h>

#include <iostream>

namespace peargrade::scale {
namespace {

Scenario smallScenario(const std::string& sizes, const std::string& settings) {
  return parseScenario("version 1\nname \"small\"\nseed 7\nbound \"60s\"\nchecked true\nsizes {\n" + sizes +
                           "\n}\n" + settings + "\n",
                       "small.kdl");
}

RunResult runScenario(const Scenario& scenario) {
  Fleet fleet(scenario, PEARGRADE_PROGRAM, std::cerr);
  return fleet.run();
}

const Record& recordOf(const RunResult& result, const std::string& role) {
  for (const Record& r : result.records) {
    if (r.role == role) return r;
  }
  throw std::runtime_error("no record of the role " + role);
}

void expectAllHeld(const RunResult& result) {
  for (const Property& p : result.properties) EXPECT_TRUE(p.held) << p.name << ": " << p.details;
}

// The first list has a head, one entry for each server and HTTP's framing. Servers whose names and addresses
// have equal lengths have entries of equal length, so the slope between two sizes is exact.
TEST(Cost, FirstListGrowsLinearlyWithServers) {
  const auto bytes = [](int servers) {
    const RunResult result =
        runScenario(smallScenario("supervisors 2\nzones 2\nproxies 3\nservers " + std::to_string(servers),
                                  "run {\n warm-up \"0s\"\n measured \"500ms\"\n}"));
    return recordOf(result, "supervisor").metrics.at("first_list_bytes");
  };
  const double bytesOf100 = bytes(100);
  const double bytesOf200 = bytes(200);
  const double bytesOf300 = bytes(300);
  // The last octet of the addresses gains a digit at 10 and at 100 and restarts at 0 in the next network; a
  // tolerance of one byte per entry covers that.
  EXPECT_NEAR((bytesOf200 - bytesOf100) / 100, (bytesOf300 - bytesOf200) / 100, 1);
  EXPECT_NEAR((bytesOf200 - bytesOf100) / 100, 138, 2);
}

// In each period the collectors send one report per server and zone and one per slice.
TEST(Cost, OneReportPerServerAndZoneAndOnePerSlice) {
  for (const int servers : {20, 40}) {
    const RunResult result = runScenario(
        smallScenario("supervisors 3\nzones 4\nslices 2\nproxies 5\nservers " + std::to_string(servers),
                      "rates {\n reports-every \"500ms\"\n requests 800\n}\n"
                      "run {\n warm-up \"1s\"\n measured \"4s\"\n}"));
    const auto& m = recordOf(result, "supervisor").metrics;
    const double messagesPerPeriod = servers * 4 + 2;
    // The measurement covers eight periods; the first or last may be cut.
    EXPECT_NEAR(m.at("reports_in_messages_per_s") / 2, messagesPerPeriod, messagesPerPeriod / 8);
    // Both counters are from the collector process, so they belong to the same moment. What supervisors have
    // read is counted in other processes.
    const auto& sent = recordOf(result, "collector").metrics;
    const double sentMessages = sent.at("reports_out_messages_per_s");
    EXPECT_NEAR(sent.at("reports_out_bytes_per_s") / sentMessages, 101, 4);
    // All messages sent arrive: at most one period is in flight at either end of the measurement.
    EXPECT_NEAR(m.at("reports_in_messages_per_s") / 2, sentMessages * 4 / 3 / 2, messagesPerPeriod / 8);
    expectAllHeld(result);
  }
}

// A change costs each supervisor one message, regardless of the length of the list.
TEST(Cost, ChangeOfOneEntryIsOneMessageOfOneEntry) {
  for (const int servers : {30, 120}) {
    const RunResult result =
        runScenario(smallScenario("supervisors 3\nzones 2\nproxies 5\nservers " + std::to_string(servers),
                                  "run {\n warm-up \"500ms\"\n measured \"1500ms\"\n}\n"
                                  "event \"change\" at=\"100ms\"\nevent \"change\" at=\"500ms\"\n"
                                  "event \"change\" at=\"900ms\""));
    const Record& r = recordOf(result, "supervisor");
    // Three changes, and at most one empty line, which discovery sends every 2 s.
    const double messages = r.metrics.at("list_in_messages_per_s") * r.seconds;
    EXPECT_GE(messages, 2.99);
    EXPECT_LE(messages, 4.01);
    const double bytes = r.metrics.at("list_in_bytes_per_s") * r.seconds;
    EXPECT_GE(bytes, 3 * 170);
    EXPECT_LE(bytes, 3 * 190 + 10);
    EXPECT_EQ(r.metrics.at("changes_unknown"), 0);
    EXPECT_LT(r.metrics.at("time_to_force_worst_s"), 17);
    expectAllHeld(result);
  }
}

TEST(SmallFleet, SteadyStateWithOneSupervisorProcess) {
  const RunResult result =
      runScenario(smallScenario("supervisors 8\nmachines 2\nreal 1\nservers 48\nzones 6\nproxies 24",
                                "run {\n warm-up \"1s\"\n measured \"3s\"\n}"));
  expectAllHeld(result);
  const auto process = std::find_if(result.records.begin(), result.records.end(),
                                    [](const Record& r) { return r.scenario == "small/real"; });
  ASSERT_NE(process, result.records.end());
  EXPECT_GT(process->metrics.at("cpu_share"), 0);
  EXPECT_GT(process->metrics.at("resident_bytes"), 1e6);
}

TEST(SmallFleet, AllWatchesReset) {
  const RunResult result =
      runScenario(smallScenario("supervisors 8\nmachines 2\nservers 48\nzones 2\nproxies 24",
                                "run {\n warm-up \"500ms\"\n measured \"3s\"\n}\n"
                                "event \"break-watches\" at=\"100ms\"\nevent \"change\" at=\"2s\""));
  expectAllHeld(result);
  EXPECT_GT(recordOf(result, "supervisor").metrics.at("time_to_watch_again_worst_s"), 0);
}

TEST(SmallFleet, ControlMachineKilledAndRestarted) {
  const RunResult result =
      runScenario(smallScenario("supervisors 14\nmachines 7\nservers 48\nzones 2\nproxies 24",
                                "run {\n warm-up \"500ms\"\n measured \"4s\"\n}\n"
                                "event \"kill-machine\" at=\"100ms\" back=\"1s\"\n"
                                "event \"change\" at=\"500ms\" count=2\nevent \"change\" at=\"3s\""));
  expectAllHeld(result);
  EXPECT_GT(recordOf(result, "supervisor").metrics.at("time_to_return_worst_s"), 0);
}

TEST(SmallFleet, ReloadTakesEffectAtEverySupervisor) {
  const RunResult result =
      runScenario(smallScenario("supervisors 8\nmachines 2\nreal 1\nservers 48\nzones 2\nproxies 24",
                                "run {\n warm-up \"500ms\"\n measured \"3s\"\n settle \"500ms\"\n}\n"
                                "event \"reload\" at=\"100ms\"\nevent \"change\" at=\"1s\"\n"
                                "event \"change\" at=\"2s\" count=4"));
  expectAllHeld(result);
  const auto& m = recordOf(result, "supervisor").metrics;
  EXPECT_GT(m.at("time_to_reload_worst_s"), 0);
  EXPECT_LT(m.at("time_to_reload_worst_s"), 17);
  EXPECT_LT(m.at("time_to_force_worst_s"), 17);
}

TEST(TimeLimit, RunAbortsAtItsLimit) {
  Scenario scenario = smallScenario("supervisors 2\nservers 10", "run {\n measured \"5s\"\n}");
  scenario.timeLimit = 1500000;
  const Micros start = net::steadyNow();
  EXPECT_THROW(runScenario(scenario), TimeLimitExceeded);
  EXPECT_LT(net::steadyNow() - start, 4500000);
}

}  // namespace
}  // namespace peargrade::scale
