// Counts of the messages that a fake has sent or received.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peargrade::fakes {

/// Messages and bytes by kind of message.
struct Traffic {
  struct Count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  std::map<std::string, Count, std::less<>> kinds;

  void add(const char* kind, std::size_t bytes, std::uint64_t messages = 1) {
    auto it = kinds.find(kind);
    if (it == kinds.end()) it = kinds.emplace(kind, Count{}).first;
    it->second.messages += messages;
    it->second.bytes += bytes;
  }
  /// The sum over all kinds.
  Count all() const {
    Count sum;
    for (const auto& [kind, count] : kinds) {
      sum.messages += count.messages;
      sum.bytes += count.bytes;
    }
    return sum;
  }
};

}  // namespace peargrade::fakes
