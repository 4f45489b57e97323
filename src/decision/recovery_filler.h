// Recovery ramp: servers that started or were taken back are filled with slices again.
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

/// A server that changed and stands below the mean load takes slices, one at a time, from the most loaded
/// servers, as far as its slow start carries them.
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
  /// A server in the order in which it is considered; chance decides between equals, else all supervisors
  /// would begin with the same one.
  struct Candidate {
    double order;
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
  bool fillFrom(const ServerId& donorId, const ServerId& id, double coolestSlice, ServerMap& servers,
                SliceMap& slices);

  const Clock& clock_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  const Placement& placement_;
  Migrator& migrator_;
  Random& random_;
};

}  // namespace peargrade::decision
