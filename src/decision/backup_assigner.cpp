#include "decision/backup_assigner.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace peargrade::decision {
namespace {

/// Weight of a backup route, as a share of the primary one's.
constexpr double kBackupShare = 0.001;

}  // namespace

void BackupAssigner::assign(const ServerMap& servers, SliceMap& slices) {
  if (settings_.hasSingleOwnerSlices()) return;
  findCandidates(servers);
  std::map<ServerId, Uses> usesByPrimary;
  std::vector<SliceState*> withoutBackup;
  for (auto& [table, slice] : slices) {
    if (slice.primary.empty()) continue;
    Uses& uses = usesByPrimary[slice.primary];
    uses.resize(candidates_.size());
    if (!keepBackups(servers, slice, uses)) withoutBackup.push_back(&slice);
  }
  for (SliceState* slice : withoutBackup) addBackup(servers, *slice, usesByPrimary[slice->primary]);
}

void BackupAssigner::findCandidates(const ServerMap& servers) {
  candidates_.clear();
  indexOf_.clear();
  for (const auto& [id, server] : servers) {
    if (!server.isUsable() || slowStart_.isWarmingUp(server)) continue;
    indexOf_[id] = candidates_.size();
    candidates_.push_back({&id, server.endpoint.zone});
  }
}

bool BackupAssigner::keepBackups(const ServerMap& servers, SliceState& slice, Uses& uses) const {
  bool hasBackup = false;
  for (auto route = slice.desired.begin(); route != slice.desired.end();) {
    const bool isPrimary = route->first == slice.primary;
    // A cached list may not know a new server yet.
    const bool mayBeNew = !endpoints_.isCurrent() && !servers.at(route->first).isListed;
    const bool mustStay = isPrimary || mayBeNew;
    const auto candidate = mustStay ? indexOf_.end() : indexOf_.find(route->first);
    const bool isBackup = candidate != indexOf_.end();
    if (isBackup) {
      ++uses[candidate->second];
      route->second = std::min(route->second, slice.desired[slice.primary] * kBackupShare);
      hasBackup = true;
    }
    route = mustStay || isBackup ? std::next(route) : slice.desired.erase(route);
  }
  return hasBackup;
}

void BackupAssigner::addBackup(const ServerMap& servers, SliceState& slice, Uses& uses) {
  const int primaryZone = servers.at(slice.primary).endpoint.zone;
  // Uses by the same primary, in its zone, chance.
  std::tuple<int, bool, double> best{std::numeric_limits<int>::max(), true, 0};
  std::size_t chosen = candidates_.size();
  for (std::size_t k = 0; k < candidates_.size(); ++k) {
    const Candidate& candidate = candidates_[k];
    if (*candidate.server == slice.primary) continue;
    const std::tuple<int, bool, double> rank{uses[k], candidate.zone == primaryZone, random_.uniform()};
    if (rank >= best) continue;
    best = rank;
    chosen = k;
  }
  if (chosen == candidates_.size()) return;
  slice.desired[*candidates_[chosen].server] = slice.desired[slice.primary] * kBackupShare;
  ++uses[chosen];
}

}  // namespace peargrade::decision
