/// State reported by all sources: the roster, and the records merged by socket address.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/address_state.h"
#include "membership/observation.h"
#include "membership/tiers.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

enum class RosterStatus {
  NotConfigured,  // all sources are sources of records
  Awaited,        // not received since the program started
  Received,
};

/// One source of records. Times are those of its observations (`asOf`); 0 means never.
struct RecordSource {
  /// Time of the last complete response before `asOf`; 0 if there is none.
  Micros lastCompleteBefore(Micros asOf) const {
    return lastComplete < asOf ? lastComplete : previousComplete;
  }
  /// Records that a complete response was applied.
  void recordComplete(Micros asOf) {
    if (asOf > lastComplete) previousComplete = std::exchange(lastComplete, asOf);
    hasCompleteResponse = true;
  }

  /// Whether its drains and removals take precedence over other sources, as those of the roster do.
  bool authority = false;
  /// Whether a complete response has been applied.
  bool hasCompleteResponse = false;
  /// Time of the last complete response.
  Micros lastComplete = 0;
  /// Time of the last complete response before `lastComplete`.
  Micros previousComplete = 0;
  SourceTiers tiers;
};

/// Written by Membership and read by ListingRules.
struct KnownServers {
  RosterStatus rosterStatus = RosterStatus::NotConfigured;
  /// When the program started.
  Micros startedAt = 0;
  std::map<ServerId, RosterEntry> roster;
  std::vector<RecordSource> sources;
  /// By socket address.
  std::map<std::string, AddressState> addresses;
};

}  // namespace peargrade::membership
