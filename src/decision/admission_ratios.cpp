#include "decision/admission_ratios.h"

#include <algorithm>
#include <cmath>

namespace peargrade::decision {
namespace {

/// Smallest admission ratio of a class.
constexpr double kMinRatio = 0.05;
/// Ratios are rounded to multiples of this.
constexpr double kRatioGranularity = 0.05;
/// A ratio that differs from the published one by less than this is not published again.
constexpr double kMinRatioChange = 0.1;
/// Replaces kMinRatioChange for slices while the fleet's ratio may be below 1.
constexpr double kCoarseMinRatioChange = 0.3;

double roundToGranularity(double ratio) { return std::round(ratio / kRatioGranularity) * kRatioGranularity; }

}  // namespace

std::vector<double> AdmissionRatios::ratiosFor(double admittedShare) const {
  const std::vector<double>& classHeat = load_.classHeat();
  double heatToShed = 0;
  for (const double heat : classHeat) heatToShed += (1 - admittedShare) * heat;
  std::vector<double> ratios(classHeat.size(), 1);
  for (const std::size_t requestClass : costs_.shedOrder()) {
    const double heat = classHeat[requestClass];
    const double shedHeat = std::min(heatToShed, (1 - kMinRatio) * heat);
    if (shedHeat > 0) ratios[requestClass] = roundToGranularity(1 - shedHeat / heat);
    heatToShed -= shedHeat;
  }
  return ratios;
}

AdmissionRatios::RatioSummary AdmissionRatios::summarize(const ServerMap& servers,
                                                         const SliceMap& slices) const {
  const std::vector<double>& classHeat = load_.classHeat();
  RatioSummary summary;
  summary.meanRatios.assign(classHeat.size(), 0);
  for (const auto& [table, slice] : slices) {
    const ServerState& primary = servers.at(slice.primary);
    for (std::size_t k = 0; k < classHeat.size(); ++k) {
      const double ratio = primary.admission.ratios[k];
      summary.belowOne += ratio < 1 ? 1 : 0;
      if (classHeat[k] > 0) summary.meanRatios[k] += ratio * slice.rates[k] * costs_.of(k) / classHeat[k];
    }
  }
  return summary;
}

void AdmissionRatios::update(ServerMap& servers, SliceMap& slices) {
  for (auto& [id, server] : servers) server.admission.ratios = ratiosFor(server.admission.admittedShare);
  const RatioSummary summary = summarize(servers, slices);
  const double messageCapacity =
      budget_.emptyChannelCapacity(UpdatePriority::Admission) - budget_.messageOverhead();
  const bool usesFleetRatio = static_cast<double>(summary.belowOne) > messageCapacity &&
                              settings_.admissionUnit == AdmissionUnit::Ratio;
  for (std::size_t k = 0; k < fleetRatios_.size(); ++k) {
    const double ratio = usesFleetRatio ? roundToGranularity(summary.meanRatios[k]) : 1;
    if (ratio >= 1 || std::abs(ratio - fleetRatios_[k]) >= kMinRatioChange) fleetRatios_[k] = ratio;
    for (auto& [table, slice] : slices) updateSlice(servers.at(slice.primary), k, usesFleetRatio, slice);
  }
}

void AdmissionRatios::updateSlice(const ServerState& primary, std::size_t requestClass, bool usesFleetRatio,
                                  SliceState& slice) const {
  const double fleetRatio = fleetRatios_[requestClass];
  const double publishedRatio = std::min(slice.admission[requestClass].ratio(), fleetRatio);
  const double targetRatio = std::min(primary.admission.ratios[requestClass], fleetRatio);
  const bool isCoarse = usesFleetRatio && !slowStart_.isWarmingUp(primary);
  const bool isSmallChange =
      std::abs(targetRatio - publishedRatio) < (isCoarse ? kCoarseMinRatioChange : kMinRatioChange);
  double& ratio = slice.ratios[requestClass];
  if (isSmallChange && (targetRatio < fleetRatio || publishedRatio == targetRatio))
    ratio = slice.admission[requestClass].ratio();
  else
    ratio = targetRatio < fleetRatio ? targetRatio : 1;
}

}  // namespace peargrade::decision
