// Recovery ramp: migrates slices to servers that have started or have been readmitted.
#pragma once

#include <string>
#include <vector>

#include "decision/load_estimator.h"
#include "decision/migrator.h"
#include "decision/placement.h"
#include "decision/random.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"

namespace peargrade::decision {

/// Fills recovering servers: those that changed recently and are below the mean load. They receive slices one
/// at a time from the most loaded servers, within the limits of slow start.
class RecoveryFiller {
 public:
  RecoveryFiller(const Clock& clock, const SlowStart& slowStart, const LoadEstimator& load,
                 const Placement& placement, Migrator& migrator, Random& random)
      : clock_(clock),
        slowStart_(slowStart),
        load_(load),
        placement_(placement),
        migrator_(migrator),
        random_(random) {}

  /// Called once for each decision.
  void fill(ServerMap& servers, SliceMap& slices);

 private:
  /// A server with its sort key. The random tie breaker prevents all supervisors from starting with the same
  /// one of several equal servers.
  struct Candidate {
    double sortKey;
    double tieBreaker;
    const ServerId* server;
    bool operator<(const Candidate& other) const;
  };
  struct Candidates {
    std::vector<Candidate> recovering;  // the least loaded first
    std::vector<Candidate> donors;      // the most loaded first
  };

  [[nodiscard]] Candidates candidates(const ServerMap& servers);
  [[nodiscard]] bool isDonor(const ServerState& server, double load) const;
  [[nodiscard]] bool isRecovering(const ServerState& server, double load) const;
  /// Migrates one slice from the donor to the recovering server. Returns whether a slice migrated.
  /// `coolestSlice`: heat of the donor's coolest slice.
  bool migrateFromDonor(const ServerId& donorId, const ServerId& recoveringId, double coolestSlice,
                        ServerMap& servers, SliceMap& slices);

  const Clock& clock_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  const Placement& placement_;
  Migrator& migrator_;
  Random& random_;
};

}  // namespace peargrade::decision
