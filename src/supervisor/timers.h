#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::supervisor {

// The timers that the module has set, by due time and then in the order they were set.
class Timers {
 public:
  static constexpr std::size_t kMost = 100000;

  // False when there are too many already.
  bool set(Micros due, std::string token) {
    if (queue_.size() >= kMost) return false;
    queue_.push({due, count_++, std::move(token)});
    return true;
  }
  std::optional<Micros> next() const {
    return queue_.empty() ? std::nullopt : std::optional<Micros>(queue_.top().due);
  }
  // The tokens due by now, in order.
  std::vector<std::string> take(Micros now) {
    std::vector<std::string> tokens;
    while (!queue_.empty() && queue_.top().due <= now) {
      tokens.push_back(queue_.top().token);
      queue_.pop();
    }
    return tokens;
  }

 private:
  struct Entry {
    Micros due;
    std::uint64_t number;
    std::string token;
    bool operator<(const Entry& o) const { return due != o.due ? due > o.due : number > o.number; }
  };
  std::priority_queue<Entry> queue_;
  std::uint64_t count_ = 0;
};

}  // namespace peargrade::supervisor
