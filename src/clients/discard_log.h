/// Rate-limited log lines for discarded messages.
#pragma once

#include <cstdint>
#include <string>

#include "log/log.h"
#include "peargrade/types.h"

namespace peargrade::clients {

/// Counts messages of collectors that are complete but invalid, and logs at most one line a second for all of
/// them.
class DiscardLog {
 public:
  explicit DiscardLog(log::Log& log) : log_(log) {}

  /// `error`: why the message is invalid. `now`: microseconds of the report server's clock.
  void record(const std::string& peer, const std::string& error, Micros now);
  /// Messages discarded so far.
  std::uint64_t total() const { return total_; }

 private:
  log::Log& log_;
  std::uint64_t total_ = 0;
  std::uint64_t notYetLogged_ = 0;
  Micros loggedAt_ = 0;  // 0: never
};

}  // namespace peargrade::clients
