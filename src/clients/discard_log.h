/// Rate-limited log lines for discarded messages.
#pragma once

#include <cstdint>
#include <string>

#include "log/log.h"
#include "peargrade/types.h"

namespace peargrade::clients {

/// Counts complete but invalid messages of collectors. Logs at most one line per second for all collectors
/// together, so that a faulty collector cannot flood the log.
class DiscardLog {
 public:
  explicit DiscardLog(log::Log& log) : log_(log) {}

  /// Counts one discarded message of `peer`. `error`: why the message is invalid. `now`: microseconds of the
  /// report server's clock.
  void record(const std::string& peer, const std::string& error, Micros now);
  /// Number of messages discarded so far.
  std::uint64_t total() const { return total_; }

 private:
  log::Log& log_;
  std::uint64_t total_ = 0;
  std::uint64_t notYetLogged_ = 0;
  Micros loggedAt_ = 0;  // time of the last line; 0 if no line was logged
};

}  // namespace peargrade::clients
