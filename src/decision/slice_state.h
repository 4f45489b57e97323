// What the engine remembers of a slice of this supervisor, in groups with one writer each.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decision/decaying_sum.h"
#include "peargrade/actions.h"
#include "peargrade/types.h"

namespace peargrade::decision {

/// Weights of a table's routes, by server.
using RouteWeights = std::map<ServerId, double>;

/// A route as it was last published, or read from the store. Where its delivery is unknown it may be in force
/// or not, with any weight: it equals no desired weight and is therefore published again.
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

/// A change of owner of a SingleOwner slice. Written by SliceHandover.
struct Handover {
  /// Proxies that have not acknowledged the removal of the old owner's route.
  std::set<ProxyId> unacknowledgedBy;
  /// The update that removed it; -1: none.
  int removalUpdateId = -1;
  /// The new owner's route must not be set before this time.
  Micros earliestAt = 0;
};

struct SliceState {
  /// A slice that was assigned at `now`, with settings of so many request classes.
  SliceState(Micros now, std::size_t classes);

  // ---- Written by Migrator, BackupAssigner and stored routes ----
  RouteWeights desired;
  /// The server whose route carries the slice; empty: none.
  ServerId primary;
  /// The primary server when this supervisor received the slice.
  ServerId initialPrimary;
  Micros migratedAt = 0;
  Micros assignedAt = 0;
  /// Whether it left a server that could not keep it, and that is not published yet. Set by Evacuation.
  bool hasUnpublishedEvacuation = false;

  // ---- Written by LoadEstimator ----
  /// Requests, by class.
  std::vector<DecayingSum> demand;
  // Estimated for each decision: requests a second by class, and their heat.
  std::vector<double> rates;
  double heat = 0;

  // ---- Written by AdmissionRatios ----
  /// Admission ratios by class, 0 to 1.
  std::vector<double> ratios;

  // ---- Written by UpdateScheduler and stored routes ----
  std::map<ServerId, PublishedRoute> published;
  std::vector<double> publishedRatios;
  /// Classes, as a sum of 2^k, whose published ratio may not be in force.
  unsigned uncertainRatios = 0;

  Handover handover;

  /// Whether the published table is the desired one.
  [[nodiscard]] bool isPublished() const;
  [[nodiscard]] bool isRatioPublished(std::size_t requestClass) const;
  /// The routes that turn the published table into the desired one: changes only.
  [[nodiscard]] std::vector<Action> changedRoutes(TableId table) const;
  /// Records an action as published.
  void publish(const SetRoute& route);
  void publish(const SetAdmission& admission);
  /// Records that the delivery of a published action is unknown.
  void markUncertain(const Action& action);
};

using SliceMap = std::map<TableId, SliceState>;

}  // namespace peargrade::decision
