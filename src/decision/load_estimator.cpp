#include "decision/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Time constant of the request rate of a slice.
constexpr Micros kDemandTimeConstant = 5 * kSecond;
/// Servers that changed within this time of each other form a cohort.
constexpr Micros kCohortSpan = 5 * kSecond;
/// Assumed heat of a slice while the heat of no slice is known.
constexpr double kDefaultSliceHeat = 1;
/// Lower bound of weights and shares that are used as divisors.
constexpr double kMinDivisor = 1e-9;

/// Subtracts `heat` from a sum of heat. Rounding errors must not make the sum negative.
void removeHeat(double& sum, double heat) { sum = std::max(0.0, sum - heat); }

}  // namespace

void LoadEstimator::record(const SliceLoadReport& report, SliceMap& slices) {
  const auto it = slices.find(report.slice);
  if (it == slices.end() || report.requestClass < 0) return;
  const auto requestClass = static_cast<std::size_t>(report.requestClass);
  if (requestClass >= costs_.classes()) return;
  if (firstReportAt_ == 0) firstReportAt_ = clock_.now() - report.window;
  it->second.demand[requestClass].add(clock_.now(), static_cast<double>(report.requests),
                                      kDemandTimeConstant);
}

// Shortly after the start or an assignment the reports cover less than the time constant. The divisor
// accounts for that: otherwise the rates would be underestimated.
void LoadEstimator::estimateRates(SliceState& slice) const {
  const Micros now = clock_.now();
  const Micros reportedFrom =
      slice.assignedAt > firstReportAt_ ? slice.assignedAt + kReportLag : firstReportAt_;
  const Micros reportedTime = std::max(settings_.reportInterval, now - reportedFrom);
  const auto timeConstant = static_cast<double>(kDemandTimeConstant);
  const double span =
      timeConstant / kSecond * (1 - std::exp(-static_cast<double>(reportedTime) / timeConstant));
  slice.heat = 0;
  for (std::size_t k = 0; k < slice.rates.size(); ++k) {
    slice.rates[k] = slice.demand[k].at(now, kDemandTimeConstant) / span;
    slice.heat += slice.rates[k] * costs_.of(k);
  }
}

void LoadEstimator::estimateOwnHeat(ServerMap& servers, SliceMap& slices) {
  const Micros now = clock_.now();
  double knownSlices = 0;
  double knownHeat = 0;
  classHeat_.assign(costs_.classes(), 0);
  for (auto& [table, slice] : slices) {
    estimateRates(slice);
    for (std::size_t k = 0; k < classHeat_.size(); ++k) classHeat_[k] += slice.rates[k] * costs_.of(k);
    if (now - slice.assignedAt < kReportLag + kDemandTimeConstant / 2) continue;
    knownHeat += slice.heat;
    knownSlices += 1;
  }
  // A newly assigned slice has no reports yet and starts with the mean heat. Otherwise it would count as
  // idle, and all slices of a batch would be placed on the same server.
  const double meanSliceHeat = knownHeat > 0 ? knownHeat / knownSlices : kDefaultSliceHeat;
  for (auto& [table, slice] : slices) {
    const double reportWeight =
        static_cast<double>(now - slice.assignedAt - kReportLag) / kDemandTimeConstant;
    slice.heat += (1 - std::clamp(reportWeight, 0.0, 1.0)) * (meanSliceHeat - slice.heat);
  }
  for (auto& [id, server] : servers) server.load = EstimatedLoad{0, server.load.cohort, 0};
  fleetHeat_ = 0;
  for (const auto& [table, slice] : slices) {
    servers[slice.primary].load.ownHeat += slice.heat;
    fleetHeat_ += slice.heat;
  }
}

// The slices of other supervisors are assumed to add (fleetScale - 1) times the own heat of a cohort to that
// cohort. Within a cohort of changed servers this heat is distributed by weight. Among servers that never
// changed, each gets a share in proportion to how far this supervisor's heat at the initial assignment fell
// short of the server's fair share: other supervisors are assumed to fill the difference.
void LoadEstimator::estimateFleetHeat(ServerMap& servers, const SliceMap& slices) {
  std::map<ServerId, double> initialHeat;
  for (const auto& [table, slice] : slices) initialHeat[slice.initialPrimary] += slice.heat;
  double readyWeight = 0;
  usableWeight_ = 0;
  for (const auto& [id, server] : servers) {
    readyWeight += server.isReady() ? slowStart_.weight(server) : 0;
    usableWeight_ += server.isUsable() ? slowStart_.weight(server) : 0;
  }
  fleetScale_ = scaleToFleet(slices.size());
  fleetHeat_ *= fleetScale_;
  std::vector<CohortMember> members;
  for (auto& [id, server] : servers) {
    server.load.cohort = 0;
    if (!server.isReady() || server.outlier.isOutlier()) continue;
    const bool hasChanged = server.changedAt > 0;
    members.push_back({hasChanged ? std::max(server.changedAt, settledBefore()) : 0, &server});
    const double deficit = fleetHeat_ * slowStart_.weight(server) / readyWeight - initialHeat[id];
    server.load.peerShare = hasChanged ? slowStart_.weight(server) * slowStart_.rampFactor(server)
                                       : std::max(kMinDivisor, deficit);
  }
  assignCohorts(members);
  double rampedWeight = 0;
  for (const auto& [id, server] : servers) {
    if (!server.isUsable() && !trials_.canTrial(server)) continue;
    rampedWeight += slowStart_.weight(server) * slowStart_.rampFactor(server);
  }
  meanLoad_ = rampedWeight > 0 ? fleetHeat_ / rampedWeight : 0;
}

// A supervisor may be assigned more slices than the settings state for the fleet. The scale must not fall
// below 1 then: the heat of other supervisors would become negative.
double LoadEstimator::scaleToFleet(std::size_t ownSlices) const {
  if (ownSlices == 0) return 1;
  return std::max(1.0, static_cast<double>(settings_.slices) / static_cast<double>(ownSlices));
}

void LoadEstimator::assignCohorts(std::vector<CohortMember>& members) {
  const auto changedEarlier = [](const CohortMember& a, const CohortMember& b) {
    return a.changedAt < b.changedAt;
  };
  std::stable_sort(members.begin(), members.end(), changedEarlier);
  cohortHeat_.assign(1, 0);
  for (auto first = members.begin(), end = first; first != members.end(); first = end) {
    double shareSum = 0;  // stays 0 if the only member has no initial capacity
    cohortHeat_.push_back(0);
    for (; end != members.end() && end->changedAt - first->changedAt < kCohortSpan; ++end) {
      EstimatedLoad& load = end->server->load;
      load.cohort = cohortHeat_.size() - 1;
      cohortHeat_.back() += load.ownHeat;
      shareSum += load.peerShare;
    }
    for (auto it = first; it != end && shareSum > 0; ++it)
      it->server->load.peerShare *= (fleetScale_ - 1) / shareSum;
  }
}

void LoadEstimator::recordMigration(ServerState& from, ServerState& to, double heat) {
  removeHeat(from.load.ownHeat, heat);
  removeHeat(cohortHeat_[from.load.cohort], heat);
  to.load.ownHeat += heat;
  cohortHeat_[to.load.cohort] += heat;
}

double LoadEstimator::heatOn(const ServerState& server) const {
  return server.load.ownHeat + server.load.peerShare * cohortHeat_[server.load.cohort];
}

// Other supervisors are assumed to add as much heat to a changed server as this one does. The first slice on
// a server is exempt unless the fleet is overloaded: multiplied by the number of supervisors it would often
// exceed the limit of a server that is alone in its cohort.
double LoadEstimator::projectedLoad(const ServerState& server, double extraHeat) const {
  const bool othersFollow =
      server.changedAt > 0 && (server.load.ownHeat > 0 || slowStart_.isFleetOverloaded());
  const double peerFactor = othersFollow ? server.load.peerShare : 0;
  const double weight = slowStart_.weight(server) * slowStart_.rampFactor(server);
  return (heatOn(server) + extraHeat * (1 + peerFactor)) / std::max(kMinDivisor, weight);
}

// Settled servers must not be filled as recovering ones: slices would migrate back and forth between them.
Micros LoadEstimator::settledBefore() const {
  return std::max<Micros>(0, clock_.now() - settings_.slowStartWindow - kDepartureMemory);
}

}  // namespace peargrade::decision
