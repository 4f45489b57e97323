#include "decision/admission_planner.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "decision/action_target.h"
#include "decision/retry_policy.h"

namespace peargrade::decision {
namespace {

/// How long after an overload of the fleet the retry policies of slices stay strict. An overload often
/// returns, and each change takes as much of an update as a route for every slice with its own admission.
constexpr Micros kLooserRetriesDelay = 5 * kSecond;

/// Appends an action that sets the admission of a class in a table. Classes with equal admission share one,
/// which takes as much of an update as one class.
void addAdmission(TableId table, std::size_t requestClass, const Admission& admission,
                  std::vector<Action>& actions) {
  const unsigned classBit = 1u << requestClass;
  for (Action& action : actions) {
    auto& other = std::get<SetAdmission>(action);
    if (!(admissionOf(other) == admission)) continue;
    other.classMask |= classBit;
    return;
  }
  actions.emplace_back(SetAdmission{table, classBit, admission.ratio, admission.retryPolicy});
}

}  // namespace

AdmissionPlanner::AdmissionPlanner(const Settings& settings, const Clock& clock, const Sources& sources,
                                   ActionQueue& actions)
    : settings_(settings),
      clock_(clock),
      sources_(sources),
      actions_(actions),
      allTables_(settings.classes.size()) {}

// ---- Events ----

// Missed ratios and the stricter policies of an overload are not repeated: a proxy reads them from the store
// when it connects. Only retries that the settings forbid do not rely on that.
std::size_t AdmissionPlanner::recordMissed(const UpdateRange& missed, SliceMap& slices) {
  std::size_t tables = 0;
  const auto recordTable = [&](std::vector<PublishedAdmission>& held) {
    for (PublishedAdmission& admission : held) admission.recordMissed(missed);
    tables += mayHoldForbiddenPolicy(held) ? 1 : 0;
  };
  recordTable(allTables_);
  for (auto& [table, slice] : slices) recordTable(slice.admission);
  return tables;
}

void AdmissionPlanner::publish(const SetAdmission& action, UpdateNumber update) {
  hasNewProxies_ = false;
  for (std::size_t k = 0; k < allTables_.size(); ++k) {
    if (selects(action, k)) allTables_[k].publish(admissionOf(action), update);
  }
}

void AdmissionPlanner::markUncertain(const SetAdmission& action) {
  for (std::size_t k = 0; k < allTables_.size(); ++k) {
    if (selects(action, k)) allTables_[k].markDeliveryUnknown(admissionOf(action));
  }
}

// ---- Steps of a decision ----

void AdmissionPlanner::trackForbiddenPolicies(const SliceMap& slices) {
  if (sources_.admission.isOverloaded()) overloadedAt_ = clock_.now();
  const auto count = std::count_if(slices.begin(), slices.end(), [this](const auto& entry) {
    return mayHoldForbiddenPolicy(entry.second.admission);
  });
  const bool isForbidden = count > 0 || mayHoldForbiddenPolicy(allTables_);
  if (isForbidden == forbiddenSince_.has_value()) return;
  if (isForbidden) {
    actions_.log("proxies may hold retry policies that the settings forbid, for all tables and " +
                 std::to_string(count) + " slices: publishing stricter ones");
    forbiddenSince_ = clock_.now();
    return;
  }
  actions_.log("stricter retry policies were published for all tables and slices within " +
               std::to_string((clock_.now() - *forbiddenSince_) / kMillisecond) + " ms");
  forbiddenSince_.reset();
}

void AdmissionPlanner::plan(TableId table, const SliceState& slice, const ServerMap& servers,
                            std::vector<PendingUpdate>& updates) const {
  PendingUpdate update{UpdatePriority::Backup, -slice.heat, table, {}};
  const bool isWarmingUp = sources_.slowStart.isWarmingUp(servers.at(slice.primary));
  for (std::size_t k = 0; k < slice.admission.size(); ++k) {
    const PublishedAdmission& held = slice.admission[k];
    const Admission desired{slice.ratios[k], desiredPolicy(k)};
    const bool isForbidden = held.mayRetryMoreThan(allowedPolicy(k));
    if (held.isInForce(desired) && !isForbidden) continue;
    if (isOnlyLooser(held, desired) && wasOverloadedRecently()) continue;
    update.priority = std::min(update.priority, priorityOf(held, desired, k, isWarmingUp));
    addAdmission(table, k, desired, update.actions);
  }
  if (!update.actions.empty()) updates.push_back(std::move(update));
}

void AdmissionPlanner::planAllTables(bool isRetry, std::vector<PendingUpdate>& updates) const {
  const std::vector<double>& ratios = sources_.ratios.fleetRatios();
  PendingUpdate update{isRetry ? UpdatePriority::Evacuation : UpdatePriority::Admission,
                       -sources_.load.fleetHeat(),
                       kAllTables,
                       {}};
  const bool isForbidden = mayHoldForbiddenPolicy(allTables_);
  if (isForbidden) update.priority = UpdatePriority::RetryRestriction;
  bool isInForce = !hasNewProxies_ && !isForbidden;
  for (std::size_t k = 0; k < allTables_.size(); ++k) {
    const Admission desired{ratios[k], desiredPolicy(k)};
    isInForce = isInForce && allTables_[k].isInForce(desired);
    update.actions.emplace_back(SetAdmission{kAllTables, 1u << k, desired.ratio, desired.retryPolicy});
  }
  if (!isInForce) updates.push_back(std::move(update));
}

std::vector<double> AdmissionPlanner::publishedRatios() const {
  std::vector<double> ratios;
  ratios.reserve(allTables_.size());
  for (const PublishedAdmission& held : allTables_) ratios.push_back(held.ratio());
  return ratios;
}

RetryPolicy AdmissionPlanner::allowedPolicy(std::size_t requestClass) const {
  return retryPolicyOf(settings_.classes[requestClass], settings_, false);
}

RetryPolicy AdmissionPlanner::desiredPolicy(std::size_t requestClass) const {
  return retryPolicyOf(settings_.classes[requestClass], settings_, sources_.admission.isOverloaded());
}

bool AdmissionPlanner::mayHoldForbiddenPolicy(const std::vector<PublishedAdmission>& held) const {
  for (std::size_t k = 0; k < held.size(); ++k) {
    if (held[k].mayRetryMoreThan(allowedPolicy(k))) return true;
  }
  return false;
}

bool AdmissionPlanner::isOnlyLooser(const PublishedAdmission& held, const Admission& desired) {
  return !held.isDeliveryUnknown() && held.ratio() == desired.ratio &&
         !held.mayRetryMoreThan(desired.retryPolicy);
}

UpdatePriority AdmissionPlanner::priorityOf(const PublishedAdmission& held, const Admission& desired,
                                            std::size_t requestClass, bool isWarmingUp) const {
  // An equal ratio is published again only if its delivery is unknown: it may be a decrease.
  const bool isDecrease =
      desired.ratio < held.ratio() || (held.isDeliveryUnknown() && desired.ratio == held.ratio());
  if (isWarmingUp && isDecrease && desired.ratio < 1) return UpdatePriority::Evacuation;
  if (held.mayRetryMoreThan(allowedPolicy(requestClass))) return UpdatePriority::RetryRestriction;
  return isOnlyLooser(held, desired) ? UpdatePriority::Backup : UpdatePriority::Admission;
}

bool AdmissionPlanner::wasOverloadedRecently() const {
  return overloadedAt_ && clock_.now() - *overloadedAt_ < kLooserRetriesDelay;
}

}  // namespace peargrade::decision
