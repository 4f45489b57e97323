/// When something about an address or a tier changes by the passing of time alone.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// Times in microseconds. An address has one place at most, which AddressState::evaluateAt holds.
class EvaluationSchedule {
 public:
  struct Due {
    std::vector<std::string> addresses;
    bool tiers = false;
  };

  /// Evaluates the address at `at`, unless it is evaluated earlier anyway. `at` 0: never.
  void schedule(const std::string& address, Micros& evaluateAt, Micros at);
  void cancel(const std::string& address, Micros& evaluateAt);
  /// Counts the tiers again at `at`.
  void scheduleTiers(Micros at) { tiers_.insert(at); }

  /// Takes out what is due. The caller resets `evaluateAt` of the addresses.
  Due takeDue(Micros now);
  /// The earliest time; nothing if nothing is scheduled.
  std::optional<Micros> next() const;

 private:
  std::set<std::pair<Micros, std::string>> addresses_;
  std::set<Micros> tiers_;
};

}  // namespace peargrade::membership
