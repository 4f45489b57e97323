/// Observations that the sources report to the membership: roster entries and DNS records. Times are in
/// microseconds of the membership's clock.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// A server listed by the roster (discovery).
struct RosterEntry {
  Endpoint endpoint;
  /// Socket address such as "10.1.0.18:3000"; "" if the roster does not state one.
  std::string address;
};

/// A server listed by SRV and address records.
struct ServiceRecord {
  /// Socket address. It identifies the server: two targets at one address are one server.
  std::string address;
  /// Target of the SRV record, in canonical form.
  std::string target;
  /// Priority of RFC 2782: servers with the lowest number are used first.
  int priority = 0;
  /// Weight of RFC 2782.
  double weight = 0;
  Micros expiresAt = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  /// Ready or Draining. Ignored unless the source has authority.
  EndpointState state = EndpointState::Ready;
  /// Start of the server; 0: not stated. A source without authority sets it only when the server is first
  /// listed.
  Micros startedAt = 0;
};

/// Response of one source of records.
struct Observation {
  enum class Kind {
    Complete,  // lists every offered server: one that it leaves out is no longer offered
    Partial,   // truncated or partly unreadable: the state of servers that it leaves out is unknown
  };
  Kind kind = Kind::Partial;
  /// Index of the source.
  std::size_t source = 0;
  /// When the response was requested. An observation older than the last complete one is ignored.
  Micros asOf = 0;
  std::vector<ServiceRecord> records;
  /// Targets whose addresses could not be resolved. Their servers do not count as left out.
  std::set<std::string> unresolvedTargets;
};

}  // namespace peargrade::membership
