// What the engine remembers of a server, in groups with one writer each.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "decision/clock.h"
#include "decision/sliding_minimum.h"
#include "decision/zone_statistics.h"
#include "peargrade/actions.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// How long a server counts as one that departed lately.
constexpr Micros kDepartureMemory = 30 * kSecond;

/// The ejection or readmission of a server that was published last, and whether every proxy knows of it.
class PublishedEjection {
 public:
  [[nodiscard]] bool isEjected() const {
    return state_ == State::Ejected || state_ == State::EjectedUnconfirmed;
  }
  /// Whether it has to be published again.
  [[nodiscard]] bool needsRepeat() const {
    return state_ == State::EjectedUnconfirmed || state_ == State::ReadmittedUnconfirmed;
  }
  /// Whether an ejection keeps, or may keep, some proxies from sending to the server.
  [[nodiscard]] bool mayBeInForce() const { return state_ != State::Readmitted; }
  void publish(EjectionState state) {
    state_ = state == EjectionState::Ejected ? State::Ejected : State::Readmitted;
  }
  /// Some proxies may not know of it.
  void markUnconfirmed() { state_ = isEjected() ? State::EjectedUnconfirmed : State::ReadmittedUnconfirmed; }

 private:
  enum class State { Readmitted, ReadmittedUnconfirmed, Ejected, EjectedUnconfirmed };
  State state_ = State::Readmitted;
};

/// Whether a server is an outlier: it is left for an ejection time, which doubles each time.
class OutlierRecord {
 public:
  [[nodiscard]] bool isOutlier() const { return state_ == State::Outlier; }
  [[nodiscard]] bool hasExpired(Micros now) const { return isOutlier() && now >= until_; }
  void eject(Micros now, Micros leastEjectionTime);
  void release() { state_ = State::Normal; }

 private:
  enum class State { Normal, Outlier };
  State state_ = State::Normal;
  Micros until_ = 0;
  Micros ejectionTime_ = 0;
};

/// What load reports say of a server. Written by PressureEstimator; reset by OutlierDetector.
struct ReportedLoad {
  std::map<int, ZoneStatistics> byProxyZone;
  SlidingMinimum latencies;
  Micros reportedAt = 0;
  // Estimated for each decision.
  /// Mean latency without the paths' penalties, in microseconds; 0: no reports.
  double latency = 0;
  /// Latency as a share of the latency objective of the server's requests.
  double pressure = 0;
  AttemptCounts counts;
};

/// Estimated load of a server. Written by LoadEstimator for each decision.
struct EstimatedLoad {
  /// Heat of this supervisor's slices with their desired primary there.
  double ownHeat = 0;
  /// The cohort of servers that changed at the same time; 0: none.
  std::size_t cohort = 0;
  /// What other supervisors' slices bring, as a share of the cohort's own heat.
  double peerShare = 0;
};

/// Written by CapacityEstimator.
struct EstimatedCapacity {
  /// Capacity against what the listed weight says, 0 to 1.
  double factor = 1;
  Micros changedAt = 0;
};

/// Written by HotspotRule.
struct HotspotRecord {
  /// Consecutive reports that pass both tests of the hotspot rule.
  int hotReports = 0;
  Micros evaluatedAt = 0;
  /// When it last lost a slice to the rule, or restarted.
  Micros relievedAt = 0;
};

/// Written by HotspotRule and RecoveryFiller.
struct MigrationTimes {
  /// The next migration off this server.
  Micros nextOffAt = 0;
  /// The last migration to this server by RecoveryFiller.
  Micros filledAt = 0;
};

/// Written by AdmissionController; the ratios by AdmissionRatios.
struct ServerAdmission {
  /// Admission ratios that its slices should have, by class.
  std::vector<double> ratios;
  /// Share of its offered heat that is admitted.
  double admittedShare = 1;
  /// Heat per listed weight that it may be sent; 0: no limit.
  double heatLimit = 0;
  /// Heat per listed weight that it received when it was last found saturated.
  double saturationHeat = 0;
  Micros limitChangedAt = 0;
  /// Increments of the limit, one after the other.
  int increments = 0;
};

struct ServerState {
  // ---- Written by EndpointList ----
  Endpoint endpoint;
  bool isListed = false;
  Micros firstSeenAt = 0;

  // ---- Written by EndpointList, health checks, load reports and stored routes: only ever set ----
  /// Whether it has answered, or was in a stored route.
  bool isConfirmed = false;

  // ---- Written by EndpointList, health checks and OutlierDetector ----
  /// When it last started or was taken back; 0: never seen to change.
  Micros changedAt = 0;

  // ---- Written by OutlierDetector ----
  OutlierRecord outlier;
  /// Removed from the list, yet its answers show that it is there.
  bool isPresumedAlive = false;
  /// When it was found draining or gone; 0: it is ready.
  Micros departedAt = 0;
  Micros nextHealthCheckAt = 0;

  // ---- Written by UpdateScheduler ----
  PublishedEjection ejection;

  ReportedLoad reports;
  EstimatedLoad load;
  EstimatedCapacity capacity;
  HotspotRecord hotspot;
  MigrationTimes migrations;
  ServerAdmission admission;

  [[nodiscard]] bool startedWithin(Micros now, Micros span) const {
    return endpoint.startedAt > 0 && now - endpoint.startedAt < span;
  }
  /// Ready by the list, or by its answers where the list dropped it.
  [[nodiscard]] bool isReady() const {
    return (isListed || isPresumedAlive) && endpoint.state == EndpointState::Ready;
  }
  /// May hold slices.
  [[nodiscard]] bool isUsable() const {
    return isReady() && !outlier.isOutlier() && isConfirmed && !ejection.isEjected();
  }
  /// A new process: only what was published and what is known of the name stays.
  void restart(Micros now);
  /// Takes over an entry of the list. `removalIsAdvisory`: a removed server keeps its last state.
  void update(const Endpoint& listed, Micros now, bool removalIsAdvisory);
};

using ServerMap = std::map<ServerId, ServerState>;

}  // namespace peargrade::decision
