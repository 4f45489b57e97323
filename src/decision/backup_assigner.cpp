#include "decision/backup_assigner.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace peargrade::decision {
namespace {

/// Ratio of the weight of a backup route to the weight of the primary route.
constexpr double kBackupShare = 0.001;

}  // namespace

void BackupAssigner::assign(const ServerMap& servers, SliceMap& slices) {
  if (settings_.hasSingleOwnerSlices()) return;
  findCandidates(servers);
  std::map<ServerId, UseCounts> useCountsByPrimary;
  std::vector<SliceState*> withoutBackup;
  for (auto& [table, slice] : slices) {
    if (slice.primary.empty() || slice.awaitsStoredRoutes()) continue;
    UseCounts& useCounts = useCountsByPrimary[slice.primary];
    useCounts.resize(candidates_.size());
    if (!retainBackups(servers, slice, useCounts)) withoutBackup.push_back(&slice);
  }
  for (SliceState* slice : withoutBackup) addBackup(servers, *slice, useCountsByPrimary[slice->primary]);
}

void BackupAssigner::findCandidates(const ServerMap& servers) {
  candidates_.clear();
  candidateIndices_.clear();
  for (const auto& [id, server] : servers) {
    if (!server.isUsable() || slowStart_.isWarmingUp(server)) continue;
    candidateIndices_[id] = candidates_.size();
    candidates_.push_back({&id, server.endpoint.zone});
  }
}

bool BackupAssigner::retainBackups(const ServerMap& servers, SliceState& slice, UseCounts& useCounts) const {
  bool hasBackup = false;
  for (auto route = slice.desired.begin(); route != slice.desired.end();) {
    const bool isPrimary = route->first == slice.primary;
    // A cached endpoint list may not contain a new server yet, so that its route must not be removed.
    const bool mayBeNew = !endpoints_.isCurrent() && !servers.at(route->first).isListed;
    const bool mustStay = isPrimary || mayBeNew;
    const auto candidate = mustStay ? candidateIndices_.end() : candidateIndices_.find(route->first);
    const bool isBackup = candidate != candidateIndices_.end();
    if (isBackup) {
      ++useCounts[candidate->second];
      route->second = std::min(route->second, slice.desired[slice.primary] * kBackupShare);
      hasBackup = true;
    }
    route = mustStay || isBackup ? std::next(route) : slice.desired.erase(route);
  }
  return hasBackup;
}

void BackupAssigner::addBackup(const ServerMap& servers, SliceState& slice, UseCounts& useCounts) {
  const int primaryZone = servers.at(slice.primary).endpoint.zone;
  // Candidates are compared by these values in turn: the number of backups for the same primary server,
  // whether the zone is that of the primary server, a random number.
  std::tuple<int, bool, double> best{std::numeric_limits<int>::max(), true, 0};
  std::size_t bestIndex = candidates_.size();
  for (std::size_t k = 0; k < candidates_.size(); ++k) {
    const Candidate& candidate = candidates_[k];
    if (*candidate.server == slice.primary) continue;
    const std::tuple<int, bool, double> rank{useCounts[k], candidate.zone == primaryZone, random_.uniform()};
    if (rank >= best) continue;
    best = rank;
    bestIndex = k;
  }
  if (bestIndex == candidates_.size()) return;
  slice.desired[*candidates_[bestIndex].server] = slice.desired[slice.primary] * kBackupShare;
  ++useCounts[bestIndex];
}

}  // namespace peargrade::decision
