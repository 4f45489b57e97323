#include "decision/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Time constant of a slice's demand.
constexpr Micros kDemandMemory = 5 * kSecond;
/// Servers that changed within this span form a cohort.
constexpr Micros kCohortSpan = 5 * kSecond;
/// Heat of a slice while no slice's heat is known.
constexpr double kUnknownHeat = 1;
/// Keeps divisors over 0.
constexpr double kLeastWeight = 1e-9;

/// Takes `heat` off a sum of heat. Rounding must not leave the sum below 0.
void removeHeat(double& sum, double heat) { sum = std::max(0.0, sum - heat); }

}  // namespace

void LoadEstimator::record(const SliceLoadReport& report, SliceMap& slices) {
  const auto it = slices.find(report.slice);
  if (it == slices.end() || report.requestClass < 0) return;
  const auto requestClass = static_cast<std::size_t>(report.requestClass);
  if (requestClass >= costs_.classes()) return;
  if (firstReportAt_ == 0) firstReportAt_ = clock_.now() - report.window;
  it->second.demand[requestClass].add(clock_.now(), static_cast<double>(report.requests), kDemandMemory);
}

// Rates are counted over the time that reports cover, which at first is not the whole memory.
void LoadEstimator::estimateRates(SliceState& slice) const {
  const Micros now = clock_.now();
  const Micros reportedFrom =
      slice.assignedAt > firstReportAt_ ? slice.assignedAt + kReportLag : firstReportAt_;
  const Micros covered = std::max(settings_.reportInterval, now - reportedFrom);
  const auto memory = static_cast<double>(kDemandMemory);
  const double span = memory / kSecond * (1 - std::exp(-static_cast<double>(covered) / memory));
  slice.heat = 0;
  for (std::size_t k = 0; k < slice.rates.size(); ++k) {
    slice.rates[k] = slice.demand[k].at(now, kDemandMemory) / span;
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
    if (now - slice.assignedAt < kReportLag + kDemandMemory / 2) continue;
    knownHeat += slice.heat;
    knownSlices += 1;
  }
  // A slice that was just assigned counts as a mean one for a while: else a batch of them lands on one
  // server.
  const double typicalHeat = knownHeat > 0 ? knownHeat / knownSlices : kUnknownHeat;
  for (auto& [table, slice] : slices) {
    const double trust = static_cast<double>(now - slice.assignedAt - kReportLag) / kDemandMemory;
    slice.heat += (1 - std::clamp(trust, 0.0, 1.0)) * (typicalHeat - slice.heat);
  }
  for (auto& [id, server] : servers) server.load = EstimatedLoad{0, server.load.cohort, 0};
  fleetHeat_ = 0;
  for (const auto& [table, slice] : slices) {
    servers[slice.primary].load.ownHeat += slice.heat;
    fleetHeat_ += slice.heat;
  }
}

// What the slices of other supervisors bring to a cohort is what own slices bring there, as often as there
// are more of them. Within a cohort it goes by weight, or where nothing changed by what own slices lacked of
// a fair share in the first tables.
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
                                       : std::max(kLeastWeight, deficit);
  }
  assignCohorts(members);
  double rampedWeight = 0;
  for (const auto& [id, server] : servers) {
    if (!server.isUsable() && !trials_.canTrial(server)) continue;
    rampedWeight += slowStart_.weight(server) * slowStart_.rampFactor(server);
  }
  meanLoad_ = rampedWeight > 0 ? fleetHeat_ / rampedWeight : 0;
}

// A supervisor may be assigned more slices than the settings name: then there are no others to scale to.
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
    double shares = 0;  // stays 0 where a server that starts without capacity is alone
    cohortHeat_.push_back(0);
    for (; end != members.end() && end->changedAt - first->changedAt < kCohortSpan; ++end) {
      EstimatedLoad& load = end->server->load;
      load.cohort = cohortHeat_.size() - 1;
      cohortHeat_.back() += load.ownHeat;
      shares += load.peerShare;
    }
    for (auto it = first; it != end && shares > 0; ++it)
      it->server->load.peerShare *= (fleetScale_ - 1) / shares;
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

// Other supervisors are taken to send a changed cohort as much more as this one does. Unless the fleet is
// overloaded a server's first slice counts alone: in a cohort of one it would often fit nowhere otherwise.
double LoadEstimator::projectedLoad(const ServerState& server, double extraHeat) const {
  const bool othersFollow =
      server.changedAt > 0 && (server.load.ownHeat > 0 || slowStart_.isFleetOverloaded());
  const double echo = othersFollow ? server.load.peerShare : 0;
  const double weight = slowStart_.weight(server) * slowStart_.rampFactor(server);
  return (heatOn(server) + extraHeat * (1 + echo)) / std::max(kLeastWeight, weight);
}

// What changed by then is filled no more and counts as one cohort: else slices would migrate back and forth.
Micros LoadEstimator::settledBefore() const {
  return std::max<Micros>(0, clock_.now() - settings_.slowStartWindow - kDepartureMemory);
}

}  // namespace peargrade::decision
