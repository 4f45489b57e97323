// The timers that the decision engine has set.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "peargrade/types.h"

namespace peargrade::supervisor {

/// Priority queue of timers, ordered by due time and, for equal due times, by the order in which they were
/// set. Times are in microseconds by Clock.
class TimerQueue {
 public:
  /// Limit of the number of queued timers.
  static constexpr std::size_t kCapacity = 100000;

  enum class SetResult { Set, QueueFull };

  SetResult set(Micros due, std::string token) {
    if (queue_.size() >= kCapacity) return SetResult::QueueFull;
    queue_.push({due, nextSequence_++, std::move(token)});
    return SetResult::Set;
  }

  /// When the next timer is due; nullopt if the queue is empty.
  std::optional<Micros> nextDue() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.top().due;
  }

  /// Removes the timers that are due by `now` and returns their tokens in order.
  std::vector<std::string> takeDue(Micros now) {
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
    std::uint64_t sequence;
    std::string token;
    /// Orders by descending due time, because std::priority_queue returns the largest element first.
    bool operator<(const Entry& other) const {
      return due != other.due ? due > other.due : sequence > other.sequence;
    }
  };
  std::priority_queue<Entry> queue_;
  std::uint64_t nextSequence_ = 0;
};

}  // namespace peargrade::supervisor
