// Since when a zone has offered each server: what came anew is cold from then, what was there before the
// program started is not made cold by that. Free of I/O and clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dns_zone {

// A server at this address and port ("10.1.0.18:3000"), offered since then (Unix microseconds).
struct EndpointSince {
  std::string endpoint;
  Micros since = 0;
};

// When each server of a zone was first offered. Times in Unix microseconds.
class FirstSeen {
 public:
  static constexpr Micros kLongAgo =
      1;  // a start that nobody has to be careful of; 0 means "not said" elsewhere

  // What the store had: `offered` at that time, `recent` of them with their time; the others came long
  // before.
  void restore(const std::set<std::string>& offered, const std::vector<EndpointSince>& recent);
  // Of one that is offered now: when it was first, which is now if it was not before.
  Micros of(const std::string& endpoint, Micros now) { return since_.emplace(endpoint, now).first->second; }
  // What is not offered any more is forgotten: when it comes back it is new.
  void keep(const std::set<std::string>& offered);
  // Those that a snapshot has to hold: younger than an hour, which no server takes to warm up.
  std::vector<EndpointSince> recent(Micros now) const;
  std::size_t size() const { return since_.size(); }

 private:
  static constexpr Micros kOld = Micros{3600} * 1000000;

  std::map<std::string, Micros> since_;
};

}  // namespace peargrade::dns_zone
