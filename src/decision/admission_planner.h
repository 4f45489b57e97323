// The admission of all tables and of single slices that has to be published.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "decision/action_queue.h"
#include "decision/admission_controller.h"
#include "decision/admission_ratios.h"
#include "decision/applied_updates.h"
#include "decision/load_estimator.h"
#include "decision/published_admission.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "decision/update_budget.h"
#include "decision/update_number.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Compares the desired admission, ratio and retry policy together, with what the proxies hold, and plans the
/// actions that publish the difference. A stricter retry policy is published with the priority of its reason:
/// if the settings forbid the looser one, requests might be executed twice. A looser one may wait.
class AdmissionPlanner {
 public:
  /// Components that the planner reads.
  struct Sources {
    const SlowStart& slowStart;
    const LoadEstimator& load;
    const AdmissionController& admission;
    const AdmissionRatios& ratios;
  };

  AdmissionPlanner(const Settings& settings, const Clock& clock, const Sources& sources,
                   ActionQueue& actions);

  // ---- Events ----
  /// Records that a proxy connected: it may hold any admission of all tables.
  void recordConnection() { hasNewProxies_ = true; }
  /// Records that a connected proxy may have missed these updates. Returns the number of tables for which
  /// proxies may now hold retry policies that the settings forbid.
  std::size_t recordMissed(const UpdateRange& missed, SliceMap& slices);
  /// Records the admission of all tables as published with the update of this number.
  void publish(const SetAdmission& action, UpdateNumber update);
  /// Records that the delivery of a published admission of all tables is unknown.
  void markUncertain(const SetAdmission& action);

  // ---- Steps of a decision ----
  /// Logs when proxies may begin to hold retry policies that the settings forbid, and when all of these were
  /// replaced.
  void trackForbiddenPolicies(const SliceMap& slices);
  /// Appends the changes of a slice's own admission to `updates`.
  void plan(TableId table, const SliceState& slice, const ServerMap& servers,
            std::vector<PendingUpdate>& updates) const;
  /// Appends the admission of all tables to `updates` if it has to be published. `isRetry`: whether the
  /// delivery of the last update was incomplete.
  void planAllTables(bool isRetry, std::vector<PendingUpdate>& updates) const;
  /// Published admission ratios that apply to all slices, by class.
  [[nodiscard]] std::vector<double> publishedRatios() const;

 private:
  /// The loosest retry policy that the settings allow for a class.
  [[nodiscard]] RetryPolicy allowedPolicy(std::size_t requestClass) const;
  /// The desired retry policy of a class. Stricter than the allowed one in overload.
  [[nodiscard]] RetryPolicy desiredPolicy(std::size_t requestClass) const;
  [[nodiscard]] bool mayHoldForbiddenPolicy(const std::vector<PublishedAdmission>& held) const;
  /// Whether only the retry policy of `held` is stricter than that of `desired`, for all proxies.
  [[nodiscard]] static bool isOnlyLooser(const PublishedAdmission& held, const Admission& desired);
  [[nodiscard]] UpdatePriority priorityOf(const PublishedAdmission& held, const Admission& desired,
                                          std::size_t requestClass, bool isWarmingUp) const;
  /// Whether the fleet was overloaded so recently that it may be again soon.
  [[nodiscard]] bool wasOverloadedRecently() const;

  const Settings& settings_;
  const Clock& clock_;
  Sources sources_;
  ActionQueue& actions_;
  /// What the proxies hold of the admission of all tables, by class.
  std::vector<PublishedAdmission> allTables_;
  /// Whether a proxy connected since the admission of all tables was published.
  bool hasNewProxies_ = true;
  /// When the fleet was last overloaded; nullopt: never.
  std::optional<Micros> overloadedAt_;
  /// Since when proxies may hold retry policies that the settings forbid; nullopt: they hold none.
  std::optional<Micros> forbiddenSince_;
};

}  // namespace peargrade::decision
