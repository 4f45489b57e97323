// The workers of the simulated fleet: what they measure when a routing rule is violated, and how the failure
// or exit of a worker process is reported.
#include <gtest/gtest.h>

#include "scale/collector_worker.h"
#include "scale/discovery_worker.h"
#include "scale/fleet_layout.h"
#include "scale/relay_worker.h"
#include "support/loop.h"

namespace peargrade::scale {
namespace {

Scenario smallScenario(int servers) {
  return parseScenario("version 1\nname \"small\"\nsizes {\n servers " + std::to_string(servers) +
                           "\n proxies 3\n slices 1\n}\n",
                       "small.kdl");
}

TEST(RelayWorker, MeasuresUnroutableSlicesAndRoutesToDrainingServers) {
  Loop loop;
  const Scenario scenario = smallScenario(10);
  RelayWorker worker(loop.base.get(), scenario);
  const int server = initialServerOf(scenario, 0, 0);
  worker.handle({"server", std::to_string(server), "0"});
  loop.until([] { return false; }, 1300000);
  // No supervisor is connected yet, so the rules do not apply.
  EXPECT_EQ(firstValue(worker.handle({"sample"}), "bare_most_s"), 0);
  EXPECT_EQ(firstValue(worker.handle({"sample"}), "stale_most_s"), 0);
  fakes::Collector supervisor(
      loop.base.get(),
      {"127.0.0.1", static_cast<std::uint16_t>(worker.handle({"addresses"}).at("port").at(0))});
  supervisor.sendRaw("WATCH\r\n");
  EXPECT_TRUE(loop.until([&] { return firstValue(worker.handle({"sample"}), "bare_most_s") > 0.2; }));
  EXPECT_GT(firstValue(worker.handle({"sample"}), "stale_most_s"), 0.2);
  worker.handle({"server", std::to_string(server), "1"});
  const double maxUnroutable = firstValue(worker.handle({"sample"}), "bare_most_s");
  loop.until([] { return false; }, 300000);
  EXPECT_EQ(firstValue(worker.handle({"sample"}), "bare_most_s"), maxUnroutable);
}

TEST(DiscoveryWorker, ChangeAltersOneEntryAndTheDigest) {
  Loop loop;
  const Scenario scenario = smallScenario(10);
  DiscoveryWorker worker(loop.base.get(), scenario);
  const auto before = worker.handle({"digest"}).at("hash");
  const Measurements drained = worker.handle({"change", "1"});
  EXPECT_EQ(firstValue(drained, "drains"), 1);
  EXPECT_NE(worker.handle({"digest"}).at("hash"), before);
  // At most a tenth of the servers drain, here one: it serves again before the next one drains.
  const Measurements restored = worker.handle({"change", "1"});
  EXPECT_EQ(firstValue(restored, "drains"), 0);
  EXPECT_EQ(firstValue(restored, "server"), firstValue(drained, "server"));
  EXPECT_EQ(worker.handle({"digest"}).at("hash"), before);
}

TEST(CollectorWorker, CountsSkippedPeriods) {
  Loop loop;
  Scenario scenario = smallScenario(10);
  scenario.reportInterval = 100000;
  CollectorWorker worker(loop.base.get(), scenario);
  loop.until([] { return false; }, 150000);
  usleep(600000);  // stalls the event loop
  EXPECT_TRUE(loop.until([&] { return firstValue(worker.handle({"sample"}), "late_periods") >= 4; }));
}

class EchoWorker : public Worker {
 public:
  Measurements handle(const Command& command) override {
    if (command.at(0) == "fail") throw std::runtime_error("requested failure");
    return {{command.at(0), {1, 2.5}}, {"none", {}}};
  }
};

TEST(WorkerProcess, RepliesReportsErrorsAndDetectsAKill) {
  WorkerProcess process(
      "echo", [](event_base*) { return std::make_unique<EchoWorker>(); }, net::steadyNow() + 20000000);
  const Measurements reply = process.request("some");
  EXPECT_EQ(reply.at("some"), (std::vector<double>{1, 2.5}));
  EXPECT_TRUE(reply.at("none").empty());
  try {
    process.request("fail");
    ADD_FAILURE() << "the error was not reported";
  } catch (const WorkerError& e) {
    EXPECT_STREQ(e.what(), "echo: requested failure");
  }
  EXPECT_EQ(firstValue(process.request("again"), "again"), 1);
  process.kill();
  EXPECT_THROW(process.request("some"), WorkerError);
}

class ExitingWorker : public Worker {
 public:
  Measurements handle(const Command&) override { _exit(3); }
};

TEST(WorkerProcess, DetectsAnUnexpectedExit) {
  WorkerProcess process(
      "exiting", [](event_base*) { return std::make_unique<ExitingWorker>(); }, net::steadyNow() + 20000000);
  EXPECT_NO_THROW(process.checkRunning());
  EXPECT_THROW(process.request("some"), WorkerError);
  const Micros end = net::steadyNow() + 5000000;
  const auto noticed = [&] {
    try {
      process.checkRunning();
      return false;
    } catch (const WorkerError&) {
      return true;
    }
  };
  while (!noticed() && net::steadyNow() < end) usleep(1000);
  EXPECT_LT(net::steadyNow(), end);
}

TEST(WorkerProcess, ReportsWhyAWorkerCannotBeCreated) {
  WorkerProcess process(
      "broken", [](event_base*) -> std::unique_ptr<Worker> { throw std::runtime_error("no such worker"); },
      net::steadyNow() + 20000000);
  try {
    process.request("some");
    ADD_FAILURE() << "a worker that cannot be created replied";
  } catch (const WorkerError& e) {
    EXPECT_STREQ(e.what(), "broken: no such worker");
  }
}

}  // namespace
}  // namespace peargrade::scale
