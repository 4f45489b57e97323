// Records when a zone first offered each server. A new server counts as cold from that time; a server that
// was offered before the program started does not become cold by the restart. No I/O, no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dns_zone {

/// A server and the time from which the zone has offered it.
struct EndpointSince {
  std::string endpoint;  ///< address and port: "10.1.0.18:3000"
  Micros since = 0;      ///< Unix microseconds
};

/// The time at which each server of a zone was first offered, in Unix microseconds.
class FirstSeen {
 public:
  /// Start time of a server that needs no slow start; not 0, which means "unknown" elsewhere.
  static constexpr Micros kLongAgo = 1;

  /// Restores the stored state: all servers in `offered`; those also in `recent` get their stored time, the
  /// others `kLongAgo`.
  void restore(const std::set<std::string>& offered, const std::vector<EndpointSince>& recent);
  /// When `endpoint`, which is offered now, was first offered; `now` if it was not known before.
  Micros of(const std::string& endpoint, Micros now) { return since_.emplace(endpoint, now).first->second; }
  /// Removes servers that are not in `offered`; one that returns later counts as new.
  void keep(const std::set<std::string>& offered);
  /// The servers that a snapshot must store: those that may still be warming up.
  std::vector<EndpointSince> recent(Micros now) const;
  std::size_t size() const { return since_.size(); }

 private:
  static constexpr Micros kMaxWarmUp = Micros{3600} * 1000000;  // 1 h

  std::map<std::string, Micros> since_;
};

}  // namespace peargrade::dns_zone
