// Worker that simulates the relay: a fake relay for each supervisor, since each has a store of slices of its
// own, and the proxies behind them.
#pragma once

#include <deque>
#include <memory>
#include <set>

#include "fakes/relay.h"
#include "scale/scenario.h"
#include "scale/worker.h"

namespace peargrade::scale {

/// The simulated proxies. All of them get the same commands, so one table is kept for all.
class SimulatedProxies {
 public:
  /// Applies the commands of one call and adds the time, on the thread's CPU clock, to cpuSeconds.
  void apply(const std::string& commands);
  void setRoute(int slice, const std::string& server, const std::string& weight);

  /// Routes, admission levels and ejected servers of one table.
  std::size_t entries() const;
  /// Bytes of the strings and keys in one table.
  std::size_t bytes() const;

  double cpuSeconds = 0;
  std::uint64_t messages = 0;
  std::uint64_t messageBytes = 0;

 private:
  void applyCommand(const std::string& command);

  std::map<int, std::map<std::string, std::string>> routes_;  // slice -> server -> weight
  std::map<std::pair<std::string, std::string>, std::string> admissionLevels_;
  std::set<std::string> ejectedServers_;
};

/// Commands:
/// - `addresses`: port: of the relay of each supervisor.
/// - `watches`: standing: number of supervisors that are connected.
/// - `sample`: totals of what relay and proxies hold, have sent, received and consumed, and the
///   maximum of each quantity that the routing rules limit.
/// - `server K 0|1`: server K drains (0) or serves again (1), which the routing rules depend on.
class RelayWorker : public Worker {
 public:
  RelayWorker(event_base* base, const Scenario& scenario);
  Measurements handle(const Command& command) override;

 private:
  /// The relay of one supervisor, and the state of the routing rules for it.
  struct Store {
    std::unique_ptr<fakes::Relay> relay;
    std::deque<Micros> calls;               // within kMessageWindow
    std::map<int, Micros> unroutableSince;  // slices without a usable route
    Micros rulesFrom = 0;    // when the rules begin to apply; 0: the supervisor is not connected
    double queuedLines = 0;  // in the update channel
    std::set<std::string> ejectedServers;  // routes to them are not used
  };
  struct PendingUpdate {
    Micros at;
    std::size_t store;
    int fence;     // to be acknowledged by the proxies; -1: none
    double lines;  // that leave the update channel
  };

  void onCall(std::size_t number, const std::string& commands);
  void completeDueUpdates();
  void checkRules();
  void checkRoutes(Store& store, Micros now);
  Measurements sample();

  const Scenario& scenario_;
  std::vector<Store> stores_;
  SimulatedProxies proxies_;
  std::deque<PendingUpdate> pendingUpdates_;
  std::map<std::string, Micros> drainingSince_;  // by server
  Micros maxUnroutable_ = 0;
  Micros maxStaleRoute_ = 0;
  double maxCalls_ = 0;
  double maxQueuedLines_ = 0;
  net::Timer tick_;
};

}  // namespace peargrade::scale
