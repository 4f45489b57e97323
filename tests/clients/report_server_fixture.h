// Test fixture: a report server on a loopback port, with the system clock or with a manual clock.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "clients/report_server.h"
#include "clients/sample_messages.h"
#include "fakes/collector.h"
#include "support/loop.h"

namespace peargrade::clients {

using fakes::Collector;

class ReportServerTest : public testing::Test {
 protected:
  void start(ReportServer::Limits limits = {}) { create(limits, net::steadyNow); }
  // Uses the manual clock `now`. Age limits are checked only by advance().
  void startWithManualClock(ReportServer::Limits limits = {}) {
    limits.sweepInterval = 1000000000;
    startSweepingWithManualClock(limits);
  }
  // Uses the manual clock `now`. Age limits are checked by advance() and every Limits::sweepInterval.
  void startSweepingWithManualClock(ReportServer::Limits limits) {
    create(limits, [this] { return now; });
  }
  // Moves the manual clock forward and checks the age limits.
  void advance(Micros duration) {
    now += duration;
    server->sweep();
  }

  // Runs the event loop until `condition` holds, and collects dispatched events in `seen`. Returns false on
  // timeout.
  bool until(const std::function<bool()>& condition) {
    return loop.until([&] {
      seen.take(dispatcher);
      return condition();
    });
  }

  void join(Collector& collector) { collector.send(kJoin); }
  // Sends a join and a load report, and waits until the report has been dispatched.
  bool joinAndReport(Collector& collector) {
    join(collector);
    collector.send(kSliceReport);
    const std::size_t before = seen.events.size();
    return until([&] { return seen.events.size() > before; });
  }

  Loop loop;
  ReadLog log;
  discovery::Names names = testNames();
  dispatch::Dispatcher dispatcher;
  Seen seen;
  Micros now = 1000000;
  std::unique_ptr<ReportServer> server;

 private:
  void create(const ReportServer::Limits& limits, std::function<Micros()> clock) {
    server = std::make_unique<ReportServer>(loop.base.get(), net::Address{"127.0.0.1", 0}, names, 10,
                                            dispatcher, *log.log, limits, std::move(clock));
  }
};

}  // namespace peargrade::clients
