/// Addresses that leave the list in steps, so that no source takes much of the pool at once.
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

/// Longest waiting first. Times in microseconds.
class DepartureQueue {
 public:
  bool contains(const std::string& address) const { return since_.count(address) != 0; }
  /// Keeps its place if it is in the queue.
  void add(const std::string& address, Micros now);
  void remove(const std::string& address);

  /// When the next step is due; nothing if nobody waits.
  std::optional<Micros> nextStep() const;
  /// Up to `count` addresses whose turn it is; they stay in the queue. The next step is due `interval` later.
  std::vector<std::string> beginStep(std::size_t count, Micros now, Micros interval);

 private:
  std::set<std::pair<Micros, std::string>> order_;
  std::map<std::string, Micros> since_;
  Micros nextStep_ = 0;
};

}  // namespace peargrade::membership
