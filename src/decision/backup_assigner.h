// Backup routes: each slice has a second server of very small weight.
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

/// Keeps one backup route in each desired table, so that a proxy has where to retry when the primary server
/// is down, rejects requests or cannot be reached: in another zone if there is one, and the backups of one
/// primary spread over many servers. None where a slice may have a single owner.
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
  using Uses = std::vector<int>;  // by candidate, of how many slices of one primary it is the backup

  void findCandidates(const ServerMap& servers);
  /// Drops the routes that are no backup. Returns whether one is left.
  bool keepBackups(const ServerMap& servers, SliceState& slice, Uses& uses) const;
  void addBackup(const ServerMap& servers, SliceState& slice, Uses& uses);

  const Settings& settings_;
  const EndpointList& endpoints_;
  const SlowStart& slowStart_;
  Random& random_;
  // Found for each decision.
  std::vector<Candidate> candidates_;
  std::map<ServerId, std::size_t> indexOf_;
};

}  // namespace peargrade::decision
