/// Queue of addresses that leave the list in steps, so that no source removes a large part of the pool at
/// once.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// First in, first out. Times are in microseconds.
class DepartureQueue {
 public:
  bool contains(const std::string& address) const { return since_.count(address) != 0; }
  /// Appends the address; has no effect if it is already queued.
  void add(const std::string& address, Micros now);
  void remove(const std::string& address);

  /// When the next step is due; nullopt if the queue is empty.
  std::optional<Micros> nextStep() const;
  /// Returns up to `count` addresses from the front without removing them, and schedules the next step at
  /// `now` + `interval`.
  std::vector<std::string> beginStep(std::size_t count, Micros now, Micros interval);

 private:
  std::set<std::pair<Micros, std::string>> order_;
  /// When each address was queued.
  std::map<std::string, Micros> since_;
  Micros nextStep_ = 0;
};

}  // namespace peargrade::membership
