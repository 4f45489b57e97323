#include "decision/admission_controller.h"

#include <algorithm>

#include "decision/load_estimator.h"
#include "decision/slow_start.h"

namespace peargrade::decision {
namespace {

/// Share of failed attempts from which a server rejects requests.
constexpr double kRejectingShare = 0.2;
/// Step of a decrease, and of the first increase, as a share of the limit.
constexpr double kStep = 0.1;
/// The same for increases near the heat at saturation.
constexpr double kSlowStep = 0.03;
/// From this share of the heat at saturation the increases are slow.
constexpr double kNearSaturation = 0.85;
/// A limit falls at most to this share of the heat at saturation until it had time to show an effect.
constexpr double kLeastShareOfSaturation = 0.8;
/// Settling times after which it may fall further.
constexpr Micros kDeepDecreaseSettlings = 3;
/// Least share of its heat that an overloaded server is taken to answer.
constexpr double kLeastAnsweredShare = 0.4;
/// Pressure over which a server is saturated by what it answers, not by what it receives.
constexpr double kSaturatedPressure = 1;
/// Passing cut of the admitted heat, for each unit of pressure over kOverloadedPressure.
constexpr double kQueueDrainFactor = 0.7;
constexpr double kQueueDrainLeast = 0.5;
/// Least share that a server admits.
constexpr double kLeastAdmittedShare = 0.1;
/// Largest increase of the sustained heat in overload, a second.
constexpr double kSustainedHeatRise = 0.1;
/// Share of failed attempts at warm servers that is an overload of the fleet.
constexpr double kOverloadFailureShare = 0.15;
/// The fleet is overloaded where more than one warm server in so many is limited.
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

void AdmissionController::adjustLimit(ServerState& server, double heat) const {
  ServerAdmission& admission = server.admission;
  if (clock_.now() - admission.limitChangedAt <= pressure_.settlingTime()) return;
  const double pressure = server.reports.pressure;
  const double failureShare = server.reports.counts.failureShare();
  const bool isRejecting = failureShare > kRejectingShare && pressure > kRelaxedPressure;
  if (pressure > kOverloadedPressure || isRejecting)
    decreaseLimit(server, heat);
  else if (pressure < kRelaxedPressure && failureShare < kRejectingShare / 2 && admission.heatLimit > 0)
    increaseLimit(server, heat);
}

void AdmissionController::decreaseLimit(ServerState& server, double heat) const {
  ServerAdmission& admission = server.admission;
  const Micros now = clock_.now();
  const double received = admission.heatLimit > 0 ? std::min(admission.heatLimit, heat) : heat;
  if (admission.increments > 0 || admission.heatLimit == 0) {
    const bool countsAnswers = isOverloaded_ || server.reports.pressure > kSaturatedPressure;
    const double answeredShare = std::max(kLeastAnsweredShare, 1 - server.reports.counts.failureShare());
    admission.saturationHeat = received * (countsAnswers ? answeredShare : 1);
  }
  const bool isShallow = received * (1 - kStep) >= kLeastShareOfSaturation * admission.saturationHeat;
  if (isShallow || now - admission.limitChangedAt > kDeepDecreaseSettlings * pressure_.settlingTime()) {
    admission.heatLimit = std::min(received, admission.saturationHeat) * (1 - kStep);
    admission.limitChangedAt = now;
  }
  admission.increments = 0;
}

void AdmissionController::increaseLimit(ServerState& server, double heat) const {
  ServerAdmission& admission = server.admission;
  const double pressure = server.reports.pressure;
  ++admission.increments;
  // A server far below the relaxed mark is not saturated near here: the mark rises.
  const double relaxedHeat =
      admission.heatLimit * kRelaxedPressure / std::max(pressure, kRelaxedPressure / 2);
  admission.saturationHeat = std::max(admission.saturationHeat, relaxedHeat);
  const double slowly = std::max(admission.heatLimit * (1 + kSlowStep * admission.increments),
                                 kNearSaturation * admission.saturationHeat);
  admission.heatLimit = std::min(admission.heatLimit * (1 + kStep * admission.increments), slowly);
  if (admission.heatLimit > heat) admission.heatLimit = 0;
  admission.limitChangedAt = clock_.now();
}

void AdmissionController::updateFleetState(const WarmServers& warm) {
  const Micros now = clock_.now();
  const double sinceLast = static_cast<double>(now - sustainedHeatAt_);
  const double most = sustainedHeat_ * (1 + kSustainedHeatRise * sinceLast / kSecond);
  if (warm.weight > 0) {
    const double current = warm.admittedHeat / warm.weight;
    sustainedHeat_ = isOverloaded_ && sustainedHeat_ > 0 ? std::min(current, most) : current;
  }
  sustainedHeatAt_ = now;
  admittedShare_ = warm.offeredHeat > 0 ? warm.admittedHeat / warm.offeredHeat : 1;
  isOverloaded_ =
      kOverloadLimitedOneIn * warm.limited > warm.count || warm.counts.failureShare() > kOverloadFailureShare;
}

void AdmissionController::setAdmittedShare(ServerState& server, double heat, bool isWarmingUp) const {
  ServerAdmission& admission = server.admission;
  const double overPressure = server.reports.pressure - kOverloadedPressure;
  const double queueDrain = std::clamp(1 - kQueueDrainFactor * overPressure, kQueueDrainLeast, 1.0);
  const double limit = isWarmingUp ? sustainedHeat_ : queueDrain * admission.heatLimit;
  const bool isOverLimit = heat > limit;
  // The limit holds on once the server is warm.
  if (isOverloaded_ && isWarmingUp && isOverLimit) {
    admission.saturationHeat = sustainedHeat_;
    admission.heatLimit = sustainedHeat_;
  }
  admission.admittedShare = limit > 0 && isOverLimit ? std::max(kLeastAdmittedShare, limit / heat) : 1;
  // A warming server admits no larger share than the warm ones.
  if (isOverloaded_ && isWarmingUp)
    admission.admittedShare = std::min(admission.admittedShare, admittedShare_);
}

}  // namespace peargrade::decision
