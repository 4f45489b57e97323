#include "decision/trial_budget.h"

namespace peargrade::decision {
namespace {

/// Largest share of this supervisor's slices that may be on unconfirmed servers.
constexpr double kMaxTrialShare = 0.1;

}  // namespace

void TrialBudget::count(const ServerMap& servers, const SliceMap& slices) {
  slices_ = slices.size();
  slicesOnTrial_ = 0;
  unconfirmedServers_ = 0;
  departedServers_ = 0;
  for (const auto& [table, slice] : slices) slicesOnTrial_ += servers.at(slice.primary).isConfirmed ? 0 : 1;
  for (const auto& [id, server] : servers) {
    unconfirmedServers_ += server.isReady() && !server.isConfirmed ? 1 : 0;
    departedServers_ += server.departedAt > 0 && clock_.now() - server.departedAt < kDepartureMemory ? 1 : 0;
  }
}

bool TrialBudget::canTrial(const ServerState& server) const {
  if (settings_.healthChecksAllowed || server.isConfirmed) return false;
  if (!server.isReady() || server.outlier.isOutlier()) return false;
  if (unconfirmedServers_ <= departedServers_) return true;
  return static_cast<double>(slicesOnTrial_) < kMaxTrialShare * static_cast<double>(slices_);
}

}  // namespace peargrade::decision
