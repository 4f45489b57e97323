// What the decision engine is told: the endpoint list, load reports, proxies, slices, and what became of its
// updates.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade {

// ---- The endpoint list ----

enum class EndpointState { Ready, Draining, Removed };

/// One server of the endpoint list.
struct Endpoint {
  ServerId server;
  /// Capacity against other endpoints, over 0; counts only where Settings::endpointsHaveWeights.
  double weight = 1;
  /// Start of the process, Unix time in microseconds; 0: long ago. A later start is a new, empty and cold
  /// server.
  Micros startedAt = 0;
  /// Failure domains and machine type, as numbers.
  int cell = 0;
  int zone = 0;
  int kind = 0;
  EndpointState state = EndpointState::Ready;
};

enum class EndpointListKind {
  Delta,   // changes of single endpoints
  Full,    // the whole list: what it does not name is no longer listed
  Cached,  // the list as stored before this supervisor started; may be out of date
  Failed,  // the watch or poll failed; no endpoints
};

struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::Full;
  /// Revision of the list at its source; not used by the engine.
  std::int64_t version = 0;
  std::vector<Endpoint> endpoints;
};

// ---- Timers, health checks, gossip ----

/// A SetTimer has run out.
struct TimerFired {
  std::string token;
};

enum class HealthCheckOutcome { Passed, Error, Rejected, Timeout, Unreachable, ConnectionLost };

/// The result of a HealthCheck.
struct HealthCheckResult {
  ServerId server;
  HealthCheckOutcome outcome = HealthCheckOutcome::Passed;
  /// Microseconds.
  Micros duration = 0;
};

/// A SendGossip of another supervisor; not used by the engine.
struct GossipReceived {
  int from = 0;
  std::string payload;
};

// ---- Proxies ----

/// A proxy has connected, or is announced again by a new watch of the relay.
struct ProxyConnected {
  ProxyId proxy = 0;
  int zone = 0;
  /// Requests a second that it usually receives; not used by the engine.
  double expectedRequestRate = 0;
  /// Whether it holds no route that was ever set, as after a start of its process.
  bool newIncarnation = false;
};

struct ProxyDisconnected {
  ProxyId proxy = 0;
};

// ---- Load reports, each over a window that ended about a second ago ----

/// Attempts of the connected proxies of one zone at one server.
struct ServerLoadReport {
  int zone = 0;
  ServerId server;
  std::int64_t attempts = 0;
  std::int64_t failures = 0;
  /// Mean of the successful attempts, in microseconds; 0: none succeeded.
  Micros meanLatency = 0;
  /// Microseconds.
  Micros window = 0;
};

/// Requests that came to a proxy, where tables are per proxy; not used by the engine.
struct ProxyLoadReport {
  ProxyId proxy = 0;
  int requestClass = 0;
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  Micros window = 0;
};

/// Requests that came for a slice, admitted or not.
struct SliceLoadReport {
  TableId slice = 0;
  int requestClass = 0;
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  Micros window = 0;
};

// ---- Slices of this supervisor ----

/// A slice was assigned to this supervisor, or was taken from it. The routes that the store holds follow as
/// StoredRoute.
struct SliceAssignment {
  TableId slice = 0;
  bool assigned = false;
};

/// A route that the store holds for a slice of this supervisor.
struct StoredRoute {
  TableId slice = 0;
  ServerId server;
  double weight = 0;
};

// ---- What became of updates ----

enum class DeliveryOutcome {
  Accepted,    // the whole update is in the channel
  Incomplete,  // some or all of its actions are not, or it is unknown which
};

/// What became of the update that ended with the AcknowledgementRequest of this id; only where
/// Settings::deliveryReported.
struct UpdateDelivery {
  int updateId = 0;
  DeliveryOutcome outcome = DeliveryOutcome::Incomplete;
  /// Messages that went to each proxy for it, or may have.
  int messages = 1;
};

/// A proxy has applied an update and all before it.
struct UpdateAcknowledged {
  ProxyId proxy = 0;
  int updateId = 0;
  /// From its entry into the channel, in microseconds; not used by the engine.
  Micros delay = 0;
};

/// UpdateAcknowledged events may have been missed; those of later updates will come. What was sent before
/// counts as in flight until an acknowledgement of a later update shows that it is not.
struct AcknowledgementsMissed {};

/// Other settings, as a whole, from here on: decisions of this batch and later follow them. The classes in
/// number and order, `slices`, `proxies`, `sliceOwnership` and `admissionUnit` are those of the start; with
/// another number of classes the event is ignored.
struct SettingsChanged {
  Settings settings;
};

using Event =
    std::variant<EndpointListUpdate, TimerFired, HealthCheckResult, GossipReceived, ProxyConnected,
                 ProxyDisconnected, ServerLoadReport, ProxyLoadReport, SliceLoadReport, SliceAssignment,
                 StoredRoute, UpdateDelivery, UpdateAcknowledged, AcknowledgementsMissed, SettingsChanged>;

}  // namespace peargrade
