/// Everything the sources have reported, merged by socket address.
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
  NotConfigured,  // records are the only sources
  Awaited,        // not received since the start
  Received,
};

/// One source of records. Times are those of its observations.
struct RecordSource {
  /// The last complete response from before `asOf`; 0 if there is none.
  Micros completeBefore(Micros asOf) const { return lastComplete < asOf ? lastComplete : previousComplete; }
  void completedAt(Micros asOf) {
    if (asOf > lastComplete) previousComplete = std::exchange(lastComplete, asOf);
    hasCompleted = true;
  }

  /// Whether it decides over drains and removals, as the roster does.
  bool authority = false;
  /// Whether it has sent a complete response.
  bool hasCompleted = false;
  Micros lastComplete = 0;
  /// The last one from another moment.
  Micros previousComplete = 0;
  SourceTiers tiers;
};

/// Written by Membership, read by ListingRules.
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
