// Worker that simulates the collectors: one for each zone, with a connection to every supervisor.
#pragma once

#include <memory>
#include <random>

#include "fakes/collector.h"
#include "scale/scenario.h"
#include "scale/worker.h"

namespace peargrade::scale {

/// Commands:
/// - `dial K HOST PORT`: connects to supervisor K, and again whenever the connection is lost.
/// - `gone K`: disconnects from supervisor K.
/// - `connected`: connected: number of established connections; of: number of expected ones.
/// - `sample`: totals of what it holds, has sent and consumed.
class CollectorWorker : public Worker {
 public:
  CollectorWorker(event_base* base, const Scenario& scenario);
  Measurements handle(const Command& command) override;

 private:
  struct Target {
    net::Address address;
    bool enabled = false;
    std::vector<std::unique_ptr<fakes::Collector>> connections;  // by zone
  };
  void tick();
  void connect(Target& target, int zone);
  /// Encoded load reports of one zone on the servers of one service, for the current period.
  const std::string& serverReports(int zone, int service);
  std::string sliceReports(int supervisor);
  Measurements sample();

  const Scenario& scenario_;
  event_base* base_;
  std::vector<Target> targets_;
  std::mt19937_64 random_;
  std::size_t nextTarget_ = 0;
  Micros periodStart_ = 0;
  std::vector<std::string> frames_;  // serverReports() of this period, by service and zone
  const int reportedServers_;        // in one element of frames_
  std::uint64_t bytesSent_ = 0;
  std::uint64_t messagesSent_ = 0;
  std::uint64_t skippedPeriods_ = 0;
  std::size_t maxUnsentBytes_ = 0;
  net::Timer tick_;
};

}  // namespace peargrade::scale
