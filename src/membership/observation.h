/// What the sources report to the membership: entries of the roster, and records of DNS. Times in
/// microseconds of the membership's clock.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// A server as the roster (discovery) lists it.
struct RosterEntry {
  Endpoint endpoint;
  /// Socket address, "10.1.0.18:3000"; "" if the roster does not have it.
  std::string address;
};

/// A server that SRV and address records list.
struct ServiceRecord {
  /// Socket address. It identifies the server: two targets at one address are one server.
  std::string address;
  /// Target of the SRV record, canonical.
  std::string target;
  /// Priority of RFC 2782: the lowest tier is used first.
  int priority = 0;
  /// Weight of RFC 2782.
  double weight = 0;
  Micros expiresAt = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  /// Ready or Draining. Counts only from a source with authority.
  EndpointState state = EndpointState::Ready;
  /// 0: not stated. Of a source without authority it counts only when the server is first listed.
  Micros startedAt = 0;
};

/// What one source of records reported at one moment.
struct Observation {
  enum class Kind {
    Complete,  // everything that is offered: what it leaves out is no longer offered
    Partial,   // truncated or partly unreadable: what it leaves out is unknown
  };
  Kind kind = Kind::Partial;
  /// Index of the source.
  std::size_t source = 0;
  /// When it was requested. An observation older than the last complete one is ignored.
  Micros asOf = 0;
  std::vector<ServiceRecord> records;
  /// Targets whose addresses are unknown: their servers do not count as left out.
  std::set<std::string> unresolvedTargets;
};

}  // namespace peargrade::membership
