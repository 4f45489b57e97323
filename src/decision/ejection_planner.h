// Which servers to eject from all tables, and which to readmit.
#pragma once

#include <vector>

#include "decision/endpoint_list.h"
#include "decision/load_estimator.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/update_budget.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// A server that must be left is ejected from all tables by one action, once its slices have another route or
/// the drain grace runs out. Its routes are removed later, and before it is readmitted.
class EjectionPlanner {
 public:
  EjectionPlanner(const Settings& settings, const Clock& clock, const EndpointList& endpoints,
                  const LoadEstimator& load, const UpdateBudget& budget)
      : settings_(settings), clock_(clock), endpoints_(endpoints), load_(load), budget_(budget) {}

  /// Changes first, then what has to be published again.
  [[nodiscard]] std::vector<SetEjection> plan(const ServerMap& servers, const SliceMap& slices) const;
  /// Whether a server must not be sent to any more.
  [[nodiscard]] bool isLeaving(const ServerState& server) const;
  /// Whether proxies can send to a server, and may.
  [[nodiscard]] bool isRoutable(const ServerState& server) const {
    return !server.ejection.mayBeInForce() && !isLeaving(server);
  }

 private:
  /// How a server stands in the published tables.
  struct TableUse {
    bool isPublished;      // in any of them
    bool isIndispensable;  // in one without a routable server
    bool isStale;          // in one that no longer wants it
  };

  [[nodiscard]] bool shouldBeEjected(const ServerState& server, const TableUse& use,
                                     Micros deliveryTime) const;

  const Settings& settings_;
  const Clock& clock_;
  const EndpointList& endpoints_;
  const LoadEstimator& load_;
  const UpdateBudget& budget_;
};

}  // namespace peargrade::decision
