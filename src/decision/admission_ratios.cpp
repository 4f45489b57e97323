#include "decision/admission_ratios.h"

#include <algorithm>
#include <cmath>

namespace peargrade::decision {
namespace {

/// Least ratio of a class.
constexpr double kLeastRatio = 0.05;
/// Ratios are multiples of this.
constexpr double kRatioGrain = 0.05;
/// Smallest change of a ratio that justifies an update.
constexpr double kRatioStep = 0.1;
/// The same for slices while the fleet's ratio serves most of them.
constexpr double kCoarseRatioStep = 0.3;

double rounded(double ratio) { return std::round(ratio / kRatioGrain) * kRatioGrain; }

}  // namespace

std::vector<double> AdmissionRatios::ratiosFor(double admittedShare) const {
  const std::vector<double>& classHeat = load_.classHeat();
  double toShed = 0;
  for (const double heat : classHeat) toShed += (1 - admittedShare) * heat;
  std::vector<double> ratios(classHeat.size(), 1);
  for (const std::size_t requestClass : costs_.shedOrder()) {
    const double heat = classHeat[requestClass];
    const double shed = std::min(toShed, (1 - kLeastRatio) * heat);
    if (shed > 0) ratios[requestClass] = rounded(1 - shed / heat);
    toShed -= shed;
  }
  return ratios;
}

AdmissionRatios::Needs AdmissionRatios::needsOf(const ServerMap& servers, const SliceMap& slices) const {
  const std::vector<double>& classHeat = load_.classHeat();
  Needs needs;
  needs.meanRatios.assign(classHeat.size(), 0);
  for (const auto& [table, slice] : slices) {
    const ServerState& primary = servers.at(slice.primary);
    for (std::size_t k = 0; k < classHeat.size(); ++k) {
      const double ratio = primary.admission.ratios[k];
      needs.exceptions += ratio < 1 ? 1 : 0;
      if (classHeat[k] > 0) needs.meanRatios[k] += ratio * slice.rates[k] * costs_.of(k) / classHeat[k];
    }
  }
  return needs;
}

void AdmissionRatios::update(ServerMap& servers, SliceMap& slices) {
  for (auto& [id, server] : servers) server.admission.ratios = ratiosFor(server.admission.admittedShare);
  const Needs needs = needsOf(servers, slices);
  const double messageSize =
      budget_.emptyChannelCapacity(UpdatePriority::Admission) - budget_.messageOverhead();
  const bool sharesFleetRatio =
      static_cast<double>(needs.exceptions) > messageSize && settings_.admissionUnit == AdmissionUnit::Ratio;
  for (std::size_t k = 0; k < fleetRatios_.size(); ++k) {
    const double ratio = sharesFleetRatio ? rounded(needs.meanRatios[k]) : 1;
    if (ratio >= 1 || std::abs(ratio - fleetRatios_[k]) >= kRatioStep) fleetRatios_[k] = ratio;
    for (auto& [table, slice] : slices) updateSlice(servers.at(slice.primary), k, sharesFleetRatio, slice);
  }
}

void AdmissionRatios::updateSlice(const ServerState& primary, std::size_t requestClass, bool sharesFleetRatio,
                                  SliceState& slice) const {
  const double fleetRatio = fleetRatios_[requestClass];
  const double inForce = std::min(slice.publishedRatios[requestClass], fleetRatio);
  const double wanted = std::min(primary.admission.ratios[requestClass], fleetRatio);
  const bool isCoarse = sharesFleetRatio && !slowStart_.isWarmingUp(primary);
  const bool isNear = std::abs(wanted - inForce) < (isCoarse ? kCoarseRatioStep : kRatioStep);
  double& ratio = slice.ratios[requestClass];
  if (isNear && (wanted < fleetRatio || inForce == wanted))
    ratio = slice.publishedRatios[requestClass];
  else
    ratio = wanted < fleetRatio ? wanted : 1;
}

}  // namespace peargrade::decision
