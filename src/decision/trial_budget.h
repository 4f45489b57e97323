// How many slices may be tried on servers that have not answered yet.
#pragma once

#include <cstddef>

#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// A listed server that has never answered may not exist. Without health checks it is tried with slices: with
/// few of them where more servers are new than have departed.
class TrialBudget {
 public:
  TrialBudget(const Settings& settings, const Clock& clock) : settings_(settings), clock_(clock) {}

  /// Counts for the decision that begins.
  void count(const ServerMap& servers, const SliceMap& slices);
  /// Counts a slice that migrates to the server.
  void recordMigration(const ServerState& target) { onTrial_ += target.isConfirmed ? 0 : 1; }
  [[nodiscard]] bool canTrial(const ServerState& server) const;

 private:
  const Settings& settings_;
  const Clock& clock_;
  std::size_t slices_ = 0;
  std::size_t onTrial_ = 0;    // slices on unconfirmed servers
  std::size_t newcomers_ = 0;  // ready servers that are unconfirmed
  std::size_t departed_ = 0;   // servers that departed lately
};

}  // namespace peargrade::decision
