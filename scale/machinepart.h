// A control machine: the supervisors that run on it, hollow in that they share a process and a loop, and real
// in all else: the SupervisorInstance that `peargrade serve` runs.
#pragma once

#include <memory>
#include <unordered_map>

#include "scale/part.h"
#include "scale/scenario.h"
#include "supervisor/supervisor_instance.h"

namespace peargrade::scale {

// What its supervisors are told of the world.
struct Dependencies {
  net::Address discovery, otherDiscovery;
  std::vector<net::Address> relays;  // by supervisor
  std::vector<net::Address> listen;  // by supervisor; port 0: the system's choice
};

// Asked:
//   addresses      -> port: of each supervisor here
//   status         -> ready, listed: how many
//   sample         -> what they hold, have read and spent so far
//   known R        -> at: when each had given revision R to its module, -1: not yet; born: when it began
//   digest         -> hash_high, hash_low, entries: of each supervisor's list (scenario `checked`)
//   reload 0|1     -> reads its configuration anew, which names the second discovery at 1; at: when
class MachinePart : public Part {
 public:
  MachinePart(event_base* base, const Scenario& scenario, const Dependencies& surroundings,
              const std::vector<int>& supervisors);
  Figures on(const Words& words) override;
  void turn() override;
  bool waiting() const override;

 private:
  struct Member {
    int number = 0;
    std::unique_ptr<supervisor::SupervisorInstance> node;
    Micros born = 0;
    // Of its list.
    std::vector<std::pair<std::int64_t, Micros>> told;  // revisions, and when the module was given them
    Micros withoutSince = 0, withoutMost = 0;           // it has no list, or its watch has failed
    std::unordered_map<std::string, bool> view;         // server -> drains; if checked
    std::uint64_t events = 0, reports = 0, news = 0, lists = 0, missed = 0, timers = 0;
  };
  void onEvent(Member& member, const peargrade::Event& event);
  void onList(Member& member, const EndpointListUpdate& news);
  config::Config configOf(int supervisor) const;
  Figures sample();

  const Scenario& scenario_;
  Dependencies surroundings_;
  log::Log log_;
  bool moved_ = false;  // configurations name the second discovery
  std::vector<std::unique_ptr<Member>> members_;
  std::int64_t heapBefore_ = 0;
  mutable std::uint64_t configurationBytes_ = 0, configurationReads_ = 0;
};

}  // namespace peargrade::scale
