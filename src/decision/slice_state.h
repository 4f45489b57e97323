// The state that the engine keeps of a slice of this supervisor, grouped by the component that writes it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decision/decaying_sum.h"
#include "decision/published_admission.h"
#include "decision/update_number.h"
#include "peargrade/actions.h"
#include "peargrade/events.h"
#include "peargrade/types.h"

namespace peargrade::decision {

/// Weights of a table's routes, by server.
using RouteWeights = std::map<ServerId, double>;

/// A route as it was last published or read from the store. If its delivery is unknown, proxies may have it
/// with any weight or not at all. It then differs from every desired weight, so that it is published again.
class PublishedRoute {
 public:
  static PublishedRoute delivered(double weight) { return PublishedRoute(weight); }
  static PublishedRoute unknownDelivery() { return PublishedRoute(std::nullopt); }
  [[nodiscard]] bool isDelivered() const { return weight_.has_value(); }
  [[nodiscard]] bool hasWeight(double weight) const { return weight_ == weight; }

 private:
  explicit PublishedRoute(std::optional<double> weight) : weight_(weight) {}
  std::optional<double> weight_;
};

/// A change of the owner of a single-owner slice. Written by SliceHandover.
struct Handover {
  /// Proxies that have not yet acknowledged the removal of the old owner's route.
  std::set<ProxyId> unacknowledgedBy;
  /// Id of the update that removed the old owner's route; -1: none, or its delivery is unknown.
  int removalUpdateId = -1;
  /// When that update was sent.
  Micros removedAt = 0;
  /// The new owner's route must not be set before this time.
  Micros earliestAt = 0;
  /// From this time on the new owner's route may be set without the missing acknowledgements. Only for a
  /// table that was cleared although the store showed no owner.
  std::optional<Micros> acknowledgementsDueAt;
};

struct SliceState {
  /// A slice that is assigned at `now`, without routes. `classes`: number of request classes.
  SliceState(Micros now, std::size_t classes);

  // ---- Written by the event handlers of the engine ----
  /// Until the stored routes are complete, the slice gets no server or backup that the store does not name.
  StoredRoutes storedRoutes = StoredRoutes::Complete;

  // ---- Written by Migrator, BackupAssigner and stored routes ----
  RouteWeights desired;
  /// The server that serves the slice, by its route in `desired`; empty: none.
  ServerId primary;
  /// The primary server when the slice was assigned to this supervisor.
  ServerId initialPrimary;
  Micros migratedAt = 0;
  Micros assignedAt = 0;
  /// Whether an evacuation of the slice has not been published yet. Set by Evacuation.
  bool hasUnpublishedEvacuation = false;

  // ---- Written by LoadEstimator ----
  /// Recent requests, by class.
  std::vector<DecayingSum> demand;
  /// Requests a second, by class. Estimated for each decision.
  std::vector<double> rates;
  /// Sum of `rates`, each multiplied by the cost of its class. Estimated for each decision.
  double heat = 0;

  // ---- Written by AdmissionRatios ----
  /// Desired admission ratios, 0 to 1, by class.
  std::vector<double> ratios;

  // ---- Written by UpdateScheduler and stored routes ----
  std::map<ServerId, PublishedRoute> published;
  /// What the proxies hold of the slice's admission, by class.
  std::vector<PublishedAdmission> admission;

  Handover handover;

  /// Whether the published routes equal the desired ones.
  [[nodiscard]] bool isPublished() const;
  /// The actions that turn the published routes into the desired ones.
  [[nodiscard]] std::vector<Action> changedRoutes(TableId table) const;
  /// Whether a stored route may still be reported that the slice's state does not contain.
  [[nodiscard]] bool awaitsStoredRoutes() const { return storedRoutes == StoredRoutes::Pending; }
  /// Records an action as published.
  void publish(const SetRoute& route);
  void publish(const ClearTable& clear);
  void publish(const SetAdmission& action, UpdateNumber update);
  /// Records a route that the store reports. If an update may have changed it since, its delivery stays
  /// unknown.
  void recordStored(const ServerId& server, double weight);
  /// Records that the delivery of a published action is unknown.
  void markUncertain(const Action& action);
};

using SliceMap = std::map<TableId, SliceState>;

}  // namespace peargrade::decision
