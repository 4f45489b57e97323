#include "decision/trial_budget.h"

namespace peargrade::decision {
namespace {

/// Share of the slices that may be on trial.
constexpr double kTrialShare = 0.1;

}  // namespace

void TrialBudget::count(const ServerMap& servers, const SliceMap& slices) {
  slices_ = slices.size();
  onTrial_ = 0;
  newcomers_ = 0;
  departed_ = 0;
  for (const auto& [table, slice] : slices) onTrial_ += servers.at(slice.primary).isConfirmed ? 0 : 1;
  for (const auto& [id, server] : servers) {
    newcomers_ += server.isReady() && !server.isConfirmed ? 1 : 0;
    departed_ += server.departedAt > 0 && clock_.now() - server.departedAt < kDepartureMemory ? 1 : 0;
  }
}

bool TrialBudget::canTrial(const ServerState& server) const {
  if (settings_.healthChecksAllowed || server.isConfirmed) return false;
  if (!server.isReady() || server.outlier.isOutlier()) return false;
  if (newcomers_ <= departed_) return true;
  return static_cast<double>(onTrial_) < kTrialShare * static_cast<double>(slices_);
}

}  // namespace peargrade::decision
