// The state that the engine keeps of a server, grouped by the component that writes it.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "decision/clock.h"
#include "decision/sliding_minimum.h"
#include "decision/update_number.h"
#include "decision/zone_statistics.h"
#include "peargrade/actions.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// How long a server that was drained or removed counts as recently departed.
constexpr Micros kDepartureMemory = 30 * kSecond;

/// The last published ejection or readmission of a server, and whether its delivery to all proxies is
/// certain. Proxies that are disconnected when it is published, or before they have applied it, miss it.
class PublishedEjection {
 public:
  [[nodiscard]] bool isEjected() const {
    return state_ == State::Ejected || state_ == State::EjectedUnconfirmed;
  }
  /// Whether it has to be published again because its delivery is uncertain.
  [[nodiscard]] bool needsRepeat() const { return state_ != State::Ejected && state_ != State::Readmitted; }
  /// Whether the repetition may wait for an update that is sent for another reason.
  [[nodiscard]] bool mayRepeatLater(Micros now) const {
    return state_ == State::ReadmittedUnknown && now < repeatBy_;
  }
  /// Whether some proxies may currently treat the server as ejected.
  [[nodiscard]] bool mayBeInForce() const {
    return state_ != State::Readmitted && state_ != State::ReadmittedUnknown;
  }
  /// The update that published it last; 0: it was never published.
  [[nodiscard]] UpdateNumber lastUpdate() const { return lastUpdate_; }
  void publish(EjectionState state, UpdateNumber update) {
    state_ = state == EjectionState::Ejected ? State::Ejected : State::Readmitted;
    lastUpdate_ = update;
  }
  /// Records that some proxies may not have received it.
  void markUnconfirmed() { state_ = isEjected() ? State::EjectedUnconfirmed : State::ReadmittedUnconfirmed; }
  /// Records that an earlier engine may have ejected the server, which is unlikely: the server counts as
  /// readmitted. The readmission is published with the next update, which is sent at `repeatBy` at the
  /// latest.
  void markUnknown(Micros repeatBy) {
    state_ = State::ReadmittedUnknown;
    repeatBy_ = repeatBy;
  }

 private:
  enum class State { Readmitted, ReadmittedUnconfirmed, ReadmittedUnknown, Ejected, EjectedUnconfirmed };
  State state_ = State::Readmitted;
  UpdateNumber lastUpdate_ = 0;
  Micros repeatBy_ = 0;
};

/// Whether a server is an outlier. An outlier gets no slices for an ejection time, which doubles with each
/// ejection.
class OutlierRecord {
 public:
  [[nodiscard]] bool isOutlier() const { return state_ == State::Outlier; }
  [[nodiscard]] bool hasExpired(Micros now) const { return isOutlier() && now >= until_; }
  void eject(Micros now, Micros minEjectionTime);
  void release() { state_ = State::Normal; }

 private:
  enum class State { Normal, Outlier };
  State state_ = State::Normal;
  Micros until_ = 0;
  Micros ejectionTime_ = 0;
};

/// Statistics of a server from load reports. Written by PressureEstimator; reset by OutlierDetector.
struct ReportedLoad {
  std::map<int, ZoneStatistics> byProxyZone;
  /// Recent latencies, for their minimum.
  SlidingMinimum latencies;
  Micros reportedAt = 0;
  // Estimated for each decision:
  /// Mean latency without path penalties, in microseconds; 0: no reports.
  double latency = 0;
  /// Mean latency divided by the latency objective of the server's requests.
  double pressure = 0;
  AttemptCounts counts;
};

/// Estimated load of a server. Written by LoadEstimator for each decision.
struct EstimatedLoad {
  /// Heat of this supervisor's slices whose desired primary server this is.
  double ownHeat = 0;
  /// Index of the cohort of servers that changed at about the same time; 0: none.
  std::size_t cohort = 0;
  /// Heat of other supervisors' slices on this server, as a multiple of the cohort's own heat.
  double peerShare = 0;
};

/// Estimated capacity of a server. Written by CapacityEstimator.
struct EstimatedCapacity {
  /// Estimated capacity relative to the listed weight, 0 to 1.
  double factor = 1;
  Micros changedAt = 0;
};

/// State of the hotspot rule for a server. Written by HotspotRule.
struct HotspotRecord {
  /// Consecutive reports with high latency and high heat.
  int hotReports = 0;
  /// When its reports were last evaluated.
  Micros evaluatedAt = 0;
  /// When the rule last migrated a slice off it, or when it last restarted.
  Micros relievedAt = 0;
};

/// Rate limits of migrations. Written by HotspotRule and RecoveryFiller.
struct MigrationLimits {
  /// HotspotRule and RecoveryFiller migrate no slice off this server before this time.
  Micros nextMigrationOffAt = 0;
  /// When RecoveryFiller last migrated a slice to this server.
  Micros lastFilledAt = 0;
};

/// Admission state of a server. Written by AdmissionController; `ratios` by AdmissionRatios.
struct ServerAdmission {
  /// Desired admission ratios of the server's slices, by class.
  std::vector<double> ratios;
  /// Share of the offered heat that is admitted, 0 to 1.
  double admittedShare = 1;
  /// Maximum heat to admit to the server, per unit of listed weight; 0: no limit.
  double heatLimit = 0;
  /// Heat per unit of listed weight that the server received when it was last saturated.
  double saturationHeat = 0;
  Micros limitChangedAt = 0;
  /// Number of consecutive increments of the limit.
  int increments = 0;
};

struct ServerState {
  // ---- Written by EndpointList ----
  Endpoint endpoint;
  bool isListed = false;
  Micros firstSeenAt = 0;

  // ---- Written by EndpointList, health checks, load reports and stored routes; never reset ----
  /// Whether the server is known to exist: it has answered, or a cached list or a stored route names it.
  bool isConfirmed = false;

  // ---- Written by EndpointList, health checks and OutlierDetector ----
  /// When the server last started or was readmitted after a failure; 0: no change was observed.
  Micros changedAt = 0;

  // ---- Written by OutlierDetector ----
  OutlierRecord outlier;
  /// Whether the server is no longer listed but still answers.
  bool isPresumedAlive = false;
  /// When the server was found to be draining or removed; 0: it is ready.
  Micros departedAt = 0;
  Micros nextHealthCheckAt = 0;

  // ---- Written by UpdateScheduler ----
  PublishedEjection ejection;

  ReportedLoad reports;
  EstimatedLoad load;
  EstimatedCapacity capacity;
  HotspotRecord hotspot;
  MigrationLimits migrations;
  ServerAdmission admission;

  [[nodiscard]] bool startedWithin(Micros now, Micros span) const {
    return endpoint.startedAt > 0 && now - endpoint.startedAt < span;
  }
  /// Whether the server is ready according to the list, or still answers although the list no longer contains
  /// it.
  [[nodiscard]] bool isReady() const {
    return (isListed || isPresumedAlive) && endpoint.state == EndpointState::Ready;
  }
  /// Whether the server may carry slices.
  [[nodiscard]] bool isUsable() const {
    return isReady() && !outlier.isOutlier() && isConfirmed && !ejection.isEjected();
  }
  /// Resets the state for a new server process. Keeps the published ejection, `firstSeenAt` and
  /// `isConfirmed`.
  void restart(Micros now);
  /// Applies an entry of the endpoint list. `removalIsAdvisory`: a removed server keeps its last endpoint
  /// state.
  void update(const Endpoint& listed, Micros now, bool removalIsAdvisory);
};

using ServerMap = std::map<ServerId, ServerState>;

}  // namespace peargrade::decision
