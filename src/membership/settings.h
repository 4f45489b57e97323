/// Settings of the membership: the `merge` block of the operator's file.
#pragma once

#include <cstddef>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// Which source determines the weight and priority of a server that the roster lists.
enum class WeightSource {
  Roster,   // the roster's weight; priorities of records are ignored
  Records,  // weight and priority of the records
};

/// Parameters of the merge. Times are in microseconds, shares from 0 to 1. Each comment ends with the name of
/// the field in the operator's file.
struct Settings {
  /// How long a server stays listed after its records expired, if only records without authority list it.
  /// `stale`.
  Micros staleRetention = 60000000;
  /// Maximum share of the ready servers that leaves in one removal step; at least one server leaves.
  /// `step-share`.
  double removalStepShare = 0.1;
  /// Time between removal steps. `step-every`.
  Micros removalStepInterval = 5000000;
  /// A complete response that leaves out more than this share of the ready servers must be confirmed by a
  /// second one. `confirm-share`.
  double confirmationShare = 0.3;
  /// After this time without a second response, the servers leave in steps. `confirm-within`.
  Micros confirmationTimeout = 30000000;
  /// A tier is used once the usable share of the tiers above it falls below this. `tier-least`.
  double tierJoinShare = 0.5;
  /// A tier is no longer used once the usable share of the tiers above it reaches this. `tier-back`.
  double tierLeaveShare = 0.7;
  /// Weight changes up to this share of the published weight are not published. `weight-margin`.
  double weightTolerance = 0.1;
  /// A server that returned `flapReturnsMax` times within this time is not listed again at once. `flap-span`.
  Micros flapWindow = 60000000;
  /// See `flapWindow`. `flap-turns`.
  int flapReturnsMax = 2;
  /// How long such a server is not listed after its last return. `flap-hold`.
  Micros flapHoldTime = 60000000;
  /// How long after the program start servers that only records list wait for the roster. `roster-first`.
  Micros rosterStartupTimeout = 3000000;
  /// Records without authority never remove a server while at most this many are ready. `keep-least`.
  std::size_t minimumReady = 1;
  /// Maximum number of roster servers, and of known addresses. Further ones are rejected. `servers`.
  std::size_t serversMax = 50000;
  /// Value "roster" or "srv". `weights`.
  WeightSource weightSource = WeightSource::Roster;
  /// Whether servers of the first complete response are assumed to have finished their slow start.
  /// `first-answer-warm`.
  bool firstResponseIsWarm = false;
};

}  // namespace peargrade::membership
