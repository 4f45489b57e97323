// Plans which servers are ejected from all routing tables and which are readmitted.
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

/// Ejects a server that must no longer receive requests (an outlier, draining, removed). One ejection takes
/// it out of all tables at once, which needs fewer routes than changing each table. It is sent once every
/// slice of the server has another usable route, or when the drain grace is about to expire. The routes to an
/// ejected server are removed afterwards; it is readmitted only when no such route is left.
class EjectionPlanner {
 public:
  EjectionPlanner(const Settings& settings, const Clock& clock, const EndpointList& endpoints,
                  const LoadEstimator& load, const UpdateBudget& budget)
      : settings_(settings), clock_(clock), endpoints_(endpoints), load_(load), budget_(budget) {}

  /// The ejections and readmissions to publish now: first changes, then those whose delivery is unknown.
  [[nodiscard]] std::vector<SetEjection> plan(const ServerMap& servers, const SliceMap& slices) const;
  /// Whether a server must no longer receive requests: it is an outlier, or is not ready in a current list.
  [[nodiscard]] bool mustBeVacated(const ServerState& server) const;
  /// Whether proxies may send requests to a server, and no published ejection prevents it.
  [[nodiscard]] bool isRoutable(const ServerState& server) const {
    return !server.ejection.mayBeInForce() && !mustBeVacated(server);
  }

 private:
  /// How the published tables of this supervisor's slices use a server.
  struct TableUse {
    bool isPublished;      // a table has a route to it
    bool isIndispensable;  // a table with a route to it has no route to a routable server
    bool isStale;          // a table has a route to it that the desired table lacks
  };

  /// `deliveryTime`: time until an update sent now has reached every proxy.
  [[nodiscard]] bool shouldBeEjected(const ServerState& server, const TableUse& use,
                                     Micros deliveryTime) const;

  const Settings& settings_;
  const Clock& clock_;
  const EndpointList& endpoints_;
  const LoadEstimator& load_;
  const UpdateBudget& budget_;
};

}  // namespace peargrade::decision
