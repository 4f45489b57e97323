// Backup routes: gives each slice a second route, with a very small weight, for retries.
#pragma once

#include <map>
#include <vector>

#include "decision/endpoint_list.h"
#include "decision/random.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Maintains one backup route in each desired table, so that proxies can retry at another server when the
/// primary server is down, rejects requests or is unreachable. Prefers a server in another zone, and spreads
/// the backups of one primary server over many servers. Single-owner slices have no backup routes.
class BackupAssigner {
 public:
  BackupAssigner(const Settings& settings, const EndpointList& endpoints, const SlowStart& slowStart,
                 Random& random)
      : settings_(settings), endpoints_(endpoints), slowStart_(slowStart), random_(random) {}

  /// Called once for each decision, after migrations.
  void assign(const ServerMap& servers, SliceMap& slices);

 private:
  struct Candidate {
    const ServerId* server;
    int zone;
  };
  /// For one primary server: the number of its slices that have each candidate as their backup.
  using UseCounts = std::vector<int>;

  void findCandidates(const ServerMap& servers);
  /// Removes routes to servers that are neither the primary server nor a candidate, and counts the remaining
  /// backups in `useCounts`. Returns whether the slice has a backup route.
  bool retainBackups(const ServerMap& servers, SliceState& slice, UseCounts& useCounts) const;
  void addBackup(const ServerMap& servers, SliceState& slice, UseCounts& useCounts);

  const Settings& settings_;
  const EndpointList& endpoints_;
  const SlowStart& slowStart_;
  Random& random_;
  // Updated for each decision.
  std::vector<Candidate> candidates_;
  std::map<ServerId, std::size_t> candidateIndices_;
};

}  // namespace peargrade::decision
