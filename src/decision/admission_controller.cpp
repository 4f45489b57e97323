#include "decision/admission_controller.h"

#include <algorithm>

#include "decision/load_estimator.h"
#include "decision/slow_start.h"

namespace peargrade::decision {
namespace {

/// Share of failed attempts above which a server counts as rejecting requests.
constexpr double kRejectingFailureShare = 0.2;
/// Decrease of a limit, and its first increase, as a share of the limit. The n-th increase in a row is n
/// steps.
constexpr double kStep = 0.1;
/// Replaces kStep for increases of a limit that is near the heat at saturation.
constexpr double kSlowStep = 0.03;
/// Share of the heat at saturation from which a limit rises by kSlowStep.
constexpr double kNearSaturationShare = 0.85;
/// A limit falls below this share of the heat at saturation only after a longer wait, since earlier decreases
/// may not show in load reports yet.
constexpr double kMinShareOfSaturation = 0.8;
/// Length of that wait, in settling times.
constexpr Micros kDeepDecreaseSettlingTimes = 3;
/// An overloaded server is assumed to answer at least this share of the heat that it receives.
constexpr double kMinAnsweredShare = 0.4;
/// Above this pressure the heat at saturation is the heat that a server answers, not the heat that it
/// receives.
constexpr double kSaturatedPressure = 1;
/// To drain the queue of a server, its limit is reduced by this share for each unit of pressure above
/// kOverloadedPressure. kMinQueueDrainShare of the limit always remains.
constexpr double kQueueDrainFactor = 0.7;
constexpr double kMinQueueDrainShare = 0.5;
/// Smallest share of its offered heat that a server admits.
constexpr double kMinAdmittedShare = 0.1;
/// Largest relative increase per second of the sustained heat while the fleet is overloaded.
constexpr double kMaxSustainedHeatRise = 0.1;
/// Share of failed attempts at warm servers above which the fleet is overloaded.
constexpr double kOverloadFailureShare = 0.15;
/// The fleet is overloaded if more than one in this many warm servers has a heat limit.
constexpr std::size_t kOverloadLimitedOneIn = 3;

}  // namespace

void AdmissionController::adjust(ServerMap& servers, const LoadEstimator& load, const SlowStart& slowStart) {
  WarmServers warm;
  for (auto& [id, server] : servers) {
    if (!server.isUsable() || slowStart.isWarmingUp(server)) continue;
    const double heat = load.heatOn(server);
    const double weight = slowStart.listedWeight(server);
    adjustLimit(server, heat / weight);
    ++warm.count;
    warm.limited += server.admission.heatLimit > 0 ? 1 : 0;
    warm.counts.attempts += server.reports.counts.attempts;
    warm.counts.failures += server.reports.counts.failures;
    warm.admittedHeat += server.admission.admittedShare * heat;
    warm.offeredHeat += heat;
    warm.weight += weight;
  }
  updateFleetState(warm);
  for (auto& [id, server] : servers) {
    const double weight = slowStart.listedWeight(server) * slowStart.rampFactor(server);
    setAdmittedShare(server, load.heatOn(server) / weight, slowStart.isWarmingUp(server));
  }
}

void AdmissionController::adjustLimit(ServerState& server, double heatPerWeight) const {
  ServerAdmission& admission = server.admission;
  if (clock_.now() - admission.limitChangedAt <= pressure_.settlingTime()) return;
  const double pressure = server.reports.pressure;
  const double failureShare = server.reports.counts.failureShare();
  const bool isRejecting = failureShare > kRejectingFailureShare && pressure > kRelaxedPressure;
  if (pressure > kOverloadedPressure || isRejecting)
    decreaseLimit(server, heatPerWeight);
  else if (pressure < kRelaxedPressure && failureShare < kRejectingFailureShare / 2 &&
           admission.heatLimit > 0)
    increaseLimit(server, heatPerWeight);
}

void AdmissionController::decreaseLimit(ServerState& server, double heatPerWeight) const {
  ServerAdmission& admission = server.admission;
  const Micros now = clock_.now();
  const double receivedHeat =
      admission.heatLimit > 0 ? std::min(admission.heatLimit, heatPerWeight) : heatPerWeight;
  if (admission.increments > 0 || admission.heatLimit == 0) {
    const bool usesAnsweredHeat = isOverloaded_ || server.reports.pressure > kSaturatedPressure;
    const double answeredShare = std::max(kMinAnsweredShare, 1 - server.reports.counts.failureShare());
    admission.saturationHeat = receivedHeat * (usesAnsweredHeat ? answeredShare : 1);
  }
  const bool isShallow = receivedHeat * (1 - kStep) >= kMinShareOfSaturation * admission.saturationHeat;
  if (isShallow || now - admission.limitChangedAt > kDeepDecreaseSettlingTimes * pressure_.settlingTime()) {
    admission.heatLimit = std::min(receivedHeat, admission.saturationHeat) * (1 - kStep);
    admission.limitChangedAt = now;
  }
  admission.increments = 0;
}

void AdmissionController::increaseLimit(ServerState& server, double heatPerWeight) const {
  ServerAdmission& admission = server.admission;
  const double pressure = server.reports.pressure;
  ++admission.increments;
  // The more relaxed the server is, the further its limit is from saturation: raise the heat at saturation if
  // it was estimated too low.
  const double relaxedHeat =
      admission.heatLimit * kRelaxedPressure / std::max(pressure, kRelaxedPressure / 2);
  admission.saturationHeat = std::max(admission.saturationHeat, relaxedHeat);
  const double slowLimit = std::max(admission.heatLimit * (1 + kSlowStep * admission.increments),
                                    kNearSaturationShare * admission.saturationHeat);
  admission.heatLimit = std::min(admission.heatLimit * (1 + kStep * admission.increments), slowLimit);
  if (admission.heatLimit > heatPerWeight) admission.heatLimit = 0;
  admission.limitChangedAt = clock_.now();
}

void AdmissionController::updateFleetState(const WarmServers& warm) {
  const Micros now = clock_.now();
  const double elapsed = static_cast<double>(now - sustainedHeatAt_);
  const double maxSustainedHeat = sustainedHeat_ * (1 + kMaxSustainedHeatRise * elapsed / kSecond);
  if (warm.weight > 0) {
    const double admittedHeatPerWeight = warm.admittedHeat / warm.weight;
    sustainedHeat_ = isOverloaded_ && sustainedHeat_ > 0 ? std::min(admittedHeatPerWeight, maxSustainedHeat)
                                                         : admittedHeatPerWeight;
  }
  sustainedHeatAt_ = now;
  admittedShare_ = warm.offeredHeat > 0 ? warm.admittedHeat / warm.offeredHeat : 1;
  isOverloaded_ =
      kOverloadLimitedOneIn * warm.limited > warm.count || warm.counts.failureShare() > kOverloadFailureShare;
}

void AdmissionController::setAdmittedShare(ServerState& server, double heatPerWeight,
                                           bool isWarmingUp) const {
  ServerAdmission& admission = server.admission;
  const double excessPressure = server.reports.pressure - kOverloadedPressure;
  const double queueDrainShare = std::clamp(1 - kQueueDrainFactor * excessPressure, kMinQueueDrainShare, 1.0);
  const double limit = isWarmingUp ? sustainedHeat_ : queueDrainShare * admission.heatLimit;
  const bool isOverLimit = heatPerWeight > limit;
  // Store the limit, so that it still applies when the server is warm.
  if (isOverloaded_ && isWarmingUp && isOverLimit) {
    admission.saturationHeat = sustainedHeat_;
    admission.heatLimit = sustainedHeat_;
  }
  admission.admittedShare = limit > 0 && isOverLimit ? std::max(kMinAdmittedShare, limit / heatPerWeight) : 1;
  // A warming server admits no larger share than warm servers do on average.
  if (isOverloaded_ && isWarmingUp)
    admission.admittedShare = std::min(admission.admittedShare, admittedShare_);
}

}  // namespace peargrade::decision
