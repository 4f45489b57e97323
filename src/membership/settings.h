/// Settings of the membership: the `merge` block of the operator's file.
#pragma once

#include <cstddef>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// Whose weight and priority count for a server that the roster lists.
enum class WeightSource {
  Roster,   // the roster's weight; priorities of records do not matter
  Records,  // weight and priority of the records
};

/// How several sources become one list. Times in microseconds, shares from 0 to 1. Each comment ends
/// with the field's name in the operator's file.
struct Settings {
  /// How long a server that only records without authority list stays listed after they expired. `stale`.
  Micros staleRetention = 60000000;
  /// Servers that leave in one removal step, as a share of the ready ones; at least one. `step-share`.
  double removalStepShare = 0.1;
  /// Time between removal steps. `step-every`.
  Micros removalStepInterval = 5000000;
  /// A complete response that leaves out more than this share of the ready servers needs a second one to
  /// confirm it. `confirm-share`.
  double confirmationShare = 0.3;
  /// Without a second response the servers leave in steps after this time. `confirm-within`.
  Micros confirmationTimeout = 30000000;
  /// A tier joins when the usable share of the tiers above it falls below this. `tier-least`.
  double tierJoinShare = 0.5;
  /// A tier leaves when the usable share of the tiers above it has reached this. `tier-back`.
  double tierLeaveShare = 0.7;
  /// A change of weight by up to this share is not published. `weight-margin`.
  double weightTolerance = 0.1;
  /// A server that returned `flapReturnsMax` times within this time is held back. `flap-span`.
  Micros flapWindow = 60000000;
  /// `flap-turns`.
  int flapReturnsMax = 2;
  /// How long it is held back after its last return. `flap-hold`.
  Micros flapHoldTime = 60000000;
  /// How long servers of records wait for the roster after the start. `roster-first`.
  Micros rosterStartupTimeout = 3000000;
  /// Records without authority never remove the last ready servers up to this number. `keep-least`.
  std::size_t minimumReady = 1;
  /// Bound on the servers of the roster and on the addresses that are known; further ones are rejected.
  /// `servers`.
  std::size_t serversMax = 50000;
  /// `weights`: "roster" or "srv".
  WeightSource weightSource = WeightSource::Roster;
  /// Servers of the first complete response have been running for long and need no slow start.
  /// `first-answer-warm`.
  bool firstResponseIsWarm = false;
};

}  // namespace peargrade::membership
