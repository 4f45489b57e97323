// Worker that simulates a control machine. Its supervisors share one process and event loop; each is the
// SupervisorInstance that `peargrade serve` runs.
#pragma once

#include <memory>
#include <unordered_map>

#include "scale/scenario.h"
#include "scale/worker.h"
#include "supervisor/supervisor_instance.h"

namespace peargrade::scale {

struct FleetAddresses {
  net::Address discovery;
  net::Address otherDiscovery;       // used after a reload
  std::vector<net::Address> relays;  // by supervisor
  std::vector<net::Address> listen;  // by supervisor; port 0: chosen by the system
};

/// Commands:
/// - `addresses`: port: of each supervisor.
/// - `status`: ready, listed: number of supervisors that are ready, and that have an endpoint list.
/// - `sample`: totals of what the supervisors hold, have read and consumed.
/// - `known R`: at: when each supervisor passed revision R to its decision engine, -1 if not yet;
///   born: when it started.
/// - `digest`: hash_high, hash_low, entries: of the list of each supervisor, if the scenario verifies lists.
/// - `reload 0|1`: reloads the configurations, which name the second discovery at 1; at: time of the reload.
class ControlMachineWorker : public Worker {
 public:
  ControlMachineWorker(event_base* base, const Scenario& scenario, const FleetAddresses& addresses,
                       const std::vector<int>& supervisors);
  Measurements handle(const Command& command) override;
  void beforeLoopIteration() override;
  bool hasPendingWork() const override;

 private:
  struct Member {
    int number = 0;
    std::unique_ptr<supervisor::SupervisorInstance> node;
    Micros startedAt = 0;
    std::vector<std::pair<std::int64_t, Micros>> revisions;  // of the list, and when the engine got them
    Micros withoutListSince = 0;  // no list yet, or the watch has failed; 0: has a list
    Micros maxWithoutList = 0;
    std::unordered_map<std::string, bool> list;  // server -> draining; if lists are verified
    std::uint64_t events = 0;
    std::uint64_t reports = 0;
    std::uint64_t relayEvents = 0;
    std::uint64_t lists = 0;
    std::uint64_t missedReplies = 0;
    std::uint64_t timers = 0;
  };
  void onEvent(Member& member, const peargrade::Event& event);
  void onList(Member& member, const EndpointListUpdate& update);
  config::Config configOf(int supervisor) const;
  Measurements sample();

  const Scenario& scenario_;
  FleetAddresses addresses_;
  log::Log log_;
  bool useOtherDiscovery_ = false;
  std::vector<std::unique_ptr<Member>> members_;
  std::int64_t initialHeapBytes_ = 0;
  mutable std::uint64_t configurationBytes_ = 0;
  mutable std::uint64_t configurationReads_ = 0;
};

}  // namespace peargrade::scale
