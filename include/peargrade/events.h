// The input events of the decision engine: endpoint list updates, timers, health check results, proxy
// connections, load reports, slice assignments, delivery outcomes of updates, and changed settings.
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

/// An entry of the endpoint list: one server.
struct Endpoint {
  ServerId server;
  /// Capacity relative to other endpoints, greater than 0. Used only with
  /// Settings::endpointsHaveWeights.
  double weight = 1;
  /// When the server process started, Unix time in microseconds; 0: long ago. A later time than
  /// before means that the server has restarted with cold caches.
  Micros startedAt = 0;
  /// Failure domains (cell and zone) and machine type, as numbers.
  int cell = 0;
  int zone = 0;
  int kind = 0;
  EndpointState state = EndpointState::Ready;
};

enum class EndpointListKind {
  Delta,   // only endpoints that changed
  Full,    // the complete list: endpoints that it omits are no longer listed
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

/// The timer of a SetTimer action has expired.
struct TimerFired {
  std::string token;
};

enum class HealthCheckOutcome { Passed, Error, Rejected, Timeout, Unreachable, ConnectionLost };

/// The result of a HealthCheck action.
struct HealthCheckResult {
  ServerId server;
  HealthCheckOutcome outcome = HealthCheckOutcome::Passed;
  /// Time from the request to the result, in microseconds.
  Micros duration = 0;
};

/// The payload of a SendGossip action of another supervisor. Not used by the engine.
struct GossipReceived {
  int from = 0;
  std::string payload;
};

// ---- Proxies ----

/// A proxy has connected, or a new watch of the relay lists a connected proxy again.
struct ProxyConnected {
  ProxyId proxy = 0;
  int zone = 0;
  /// Requests a second that the proxy usually receives. Not used by the engine.
  double expectedRequestRate = 0;
  /// Whether the proxy process has restarted and holds none of the routes published so far.
  bool newIncarnation = false;
};

struct ProxyDisconnected {
  ProxyId proxy = 0;
};

// ---- Load reports: each covers a window that ended about a second before it arrives ----

/// Attempts that the connected proxies of one zone sent to one server.
struct ServerLoadReport {
  int zone = 0;
  ServerId server;
  std::int64_t attempts = 0;
  std::int64_t failures = 0;
  /// Mean latency of the successful attempts, in microseconds; 0: no attempt succeeded.
  Micros meanLatency = 0;
  /// Length of the reported window, in microseconds.
  Micros window = 0;
};

/// Requests that a proxy received, where tables are per proxy. Not used by the engine.
struct ProxyLoadReport {
  ProxyId proxy = 0;
  int requestClass = 0;
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  Micros window = 0;
};

/// Requests that proxies received for a slice, including those that they rejected.
struct SliceLoadReport {
  TableId slice = 0;
  int requestClass = 0;
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  Micros window = 0;
};

// ---- Slices of this supervisor ----

/// Whether all stored routes of an assigned slice have been reported.
enum class StoredRoutes {
  Complete,  // they are in the same batch of events as the assignment
  Pending,   // some or all may follow in later batches, up to a StoredRoutesComplete event
};

/// A slice was assigned to this supervisor or withdrawn from it. After an assignment, StoredRoute events give
/// the stored routes of the slice.
struct SliceAssignment {
  TableId slice = 0;
  bool assigned = false;
  StoredRoutes routes = StoredRoutes::Complete;
};

/// All stored routes of a slice that was assigned with StoredRoutes::Pending have been reported. Without this
/// event the engine takes them for complete after a time limit of its own.
struct StoredRoutesComplete {
  TableId slice = 0;
};

/// A stored route of a slice that is assigned to this supervisor.
struct StoredRoute {
  TableId slice = 0;
  ServerId server;
  double weight = 0;
};

// ---- Delivery of updates ----

enum class DeliveryOutcome {
  Accepted,    // the update channel has accepted the complete update
  Incomplete,  // some or all actions of the update were not accepted, or it is unknown which
};

/// The delivery outcome of the update whose AcknowledgementRequest has this id. Sent only if
/// Settings::deliveryReported is set.
struct UpdateDelivery {
  int updateId = 0;
  DeliveryOutcome outcome = DeliveryOutcome::Incomplete;
  /// Messages that were, or may have been, sent to each proxy for this update.
  int messages = 1;
};

/// A proxy has applied this update and all earlier ones.
struct UpdateAcknowledged {
  ProxyId proxy = 0;
  int updateId = 0;
  /// Time from acceptance by the update channel to the acknowledgement, in microseconds. Not used by the
  /// engine.
  Micros delay = 0;
};

/// UpdateAcknowledged, ProxyConnected and ProxyDisconnected events may have been lost. Updates sent before
/// this event count as in flight until a later update is acknowledged, and as missed by every proxy that has
/// not acknowledged them.
struct AcknowledgementsMissed {};

/// Replaces all settings, from the decisions of this batch on. The number and order of the classes, `slices`,
/// `proxies`, `sliceOwnership` and `admissionUnit` must not change; the event is ignored if the number of
/// classes differs.
struct SettingsChanged {
  Settings settings;
};

using Event = std::variant<EndpointListUpdate, TimerFired, HealthCheckResult, GossipReceived, ProxyConnected,
                           ProxyDisconnected, ServerLoadReport, ProxyLoadReport, SliceLoadReport,
                           SliceAssignment, StoredRoute, StoredRoutesComplete, UpdateDelivery,
                           UpdateAcknowledged, AcknowledgementsMissed, SettingsChanged>;

}  // namespace peargrade
