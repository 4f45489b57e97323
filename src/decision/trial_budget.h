// Limits the number of slices placed on servers that have not answered yet.
#pragma once

#include <cstddef>

#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// A server that is listed but has never answered may not exist. Where health checks are not allowed, such an
/// unconfirmed server is tested by placing slices on it, which puts their requests at risk. The number of
/// these trial slices is limited, unless at least as many servers departed recently as are unconfirmed: then
/// the unconfirmed ones are probably their successors.
class TrialBudget {
 public:
  TrialBudget(const Settings& settings, const Clock& clock) : settings_(settings), clock_(clock) {}

  /// Counts slices and servers. Called once for each decision, before any migration.
  void count(const ServerMap& servers, const SliceMap& slices);
  /// Counts a slice that migrates to the server.
  void recordMigration(const ServerState& target) { slicesOnTrial_ += target.isConfirmed ? 0 : 1; }
  /// Whether a trial slice may be placed on the server. False for confirmed servers, which need no trial.
  [[nodiscard]] bool canTrial(const ServerState& server) const;

 private:
  const Settings& settings_;
  const Clock& clock_;
  std::size_t slices_ = 0;
  std::size_t slicesOnTrial_ = 0;       // slices whose primary server is unconfirmed
  std::size_t unconfirmedServers_ = 0;  // ready servers that are unconfirmed
  std::size_t departedServers_ = 0;     // servers that departed within kDepartureMemory
};

}  // namespace peargrade::decision
