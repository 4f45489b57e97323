// A report server on a loopback port, with the system's clock or with one that the test moves.
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
  // With the clock `now`; ages are checked by advance() alone.
  void startWithOwnClock(ReportServer::Limits limits = {}) {
    limits.sweepInterval = 1000000000;
    startSweepingWithOwnClock(limits);
  }
  // With the clock `now`; ages are checked every Limits::sweepInterval as well.
  void startSweepingWithOwnClock(ReportServer::Limits limits) {
    create(limits, [this] { return now; });
  }
  void advance(Micros duration) {
    now += duration;
    server->sweep();
  }

  // Turns the loop until `condition` holds; collects dispatched events in `seen`.
  bool until(const std::function<bool()>& condition) {
    return loop.until([&] {
      seen.take(dispatcher);
      return condition();
    });
  }

  void join(Collector& collector) { collector.send(kJoin); }
  // Joins and waits until a report of the collector has been dispatched.
  bool joined(Collector& collector) {
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
