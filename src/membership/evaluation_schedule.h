/// Schedule of the changes of addresses and tiers that occur without an observation, by time alone.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// Times are in microseconds. An address has at most one scheduled time, stored in AddressState::evaluateAt.
class EvaluationSchedule {
 public:
  struct Due {
    std::vector<std::string> addresses;
    /// Whether a recount of the tiers is due.
    bool tiers = false;
  };

  /// Schedules the address at `at` unless it is already scheduled earlier. Does nothing if `at` is 0.
  /// `evaluateAt`: scheduled time of the address, updated here.
  void schedule(const std::string& address, Micros& evaluateAt, Micros at);
  /// Removes the address from the schedule and sets `evaluateAt` to 0.
  void cancel(const std::string& address, Micros& evaluateAt);
  /// Schedules a recount of the tiers at `at`.
  void scheduleTiers(Micros at) { tiers_.insert(at); }

  /// Removes and returns the entries due at `now`. The caller resets `evaluateAt` of the addresses.
  Due takeDue(Micros now);
  /// The earliest scheduled time; nullopt if there is none.
  std::optional<Micros> next() const;

 private:
  std::set<std::pair<Micros, std::string>> addresses_;
  std::set<Micros> tiers_;
};

}  // namespace peargrade::membership
