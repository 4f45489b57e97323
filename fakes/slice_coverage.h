// Checks two rules on the routing tables in the relay's store, independently of the decision engine: how long
// a slice has had no route to a running server, and whether routes were set or kept to a draining or removed
// server.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fakes/relay.h"

namespace peargrade::fakes {

/// Records violations while a test runs.
class SliceCoverage {
 public:
  /// `clock` returns microseconds. Replaces the relay's onOrder callback.
  SliceCoverage(Relay& relay, std::function<Micros()> clock);

  // ---- Actual state of the servers ----

  /// The server is running and can serve requests.
  void runs(const std::string& server) { running_.insert(server); }
  /// The server drains or has been removed: no new route may be set to it, and existing routes must be
  /// removed within `grace`.
  void leaves(const std::string& server, Micros grace);

  /// Evaluates the tables. Call it often: a slice counts as unroutable between two calls that both find no
  /// usable route.
  void sample();

  // ---- Results ----

  /// Longest time for which a slice had no usable route.
  Micros worst() const { return longestUnroutable_; }
  /// The slice of worst().
  const std::string& where() const { return worstSlice_; }
  /// Routes that were set or kept to a server after its grace period.
  const std::vector<std::string>& wrongs() const { return violations_; }

 private:
  Relay& relay_;
  std::function<Micros()> clock_;
  std::set<std::string> running_;
  // End of the grace period by server.
  std::map<std::string, Micros> graceEnds_;
  std::map<int, Micros> unroutableSince_;
  Micros longestUnroutable_ = 0;
  std::string worstSlice_;
  std::vector<std::string> violations_;
};

}  // namespace peargrade::fakes
