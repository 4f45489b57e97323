// The actions that the decision engine returns and its caller executes, in the order in which they are
// returned. SetRoute, ClearTable, SetEjection and SetAdmission up to the next AcknowledgementRequest,
// inclusive, form one update of the proxies.
#pragma once

#include <string>
#include <variant>

#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade {

/// Requests a TimerFired event with the same token after `delay` microseconds.
struct SetTimer {
  Micros delay = 0;
  std::string token;
};

/// Starts or ends the watch on the endpoint list.
struct WatchEndpoints {
  bool enabled = true;
};

/// Requests the full endpoint list once.
struct PollEndpoints {};

/// Sends one health check to a server. A HealthCheckResult event reports the outcome.
struct HealthCheck {
  ServerId server;
};

/// Sends a payload to every other supervisor, where it arrives as GossipReceived.
struct SendGossip {
  std::string payload;
};

/// Sets the weight of a server in a routing table. Proxies distribute requests over the routes of a table in
/// proportion to their weights.
struct SetRoute {
  TableId table = 0;
  ServerId server;
  /// 0 removes the route.
  double weight = 0;
};

/// Removes all routes of a table.
struct ClearTable {
  TableId table = 0;
};

enum class EjectionState { Ejected, Readmitted };

/// Ejects or readmits a server. Proxies ignore every route to an ejected server, in all tables, until it is
/// readmitted.
struct SetEjection {
  ServerId server;
  EjectionState state = EjectionState::Ejected;
};

/// Sets the admission ratio and the retry policy of some request classes.
struct SetAdmission {
  TableId table = kAllTables;
  /// Bit k selects request class k. 0 selects all classes.
  unsigned classMask = 0;
  /// Share of the requests that proxies admit, 0 to 1. They reject the others immediately.
  double ratio = 1;
  RetryPolicy retryPolicy = RetryPolicy::Never;
};

/// Ends an update. Each proxy that has applied the update acknowledges it (event UpdateAcknowledged).
struct AcknowledgementRequest {
  /// 0 to 65535, incremented for each update; wraps around to 0.
  int updateId = 0;
  /// Whether the update is also sent to proxies that use none of the changed tables.
  bool everyProxy = false;
};

/// Writes a line to the log, for operators.
struct Log {
  std::string text;
};

using Action = std::variant<SetTimer, WatchEndpoints, PollEndpoints, HealthCheck, SendGossip, SetRoute,
                            ClearTable, SetEjection, SetAdmission, AcknowledgementRequest, Log>;

}  // namespace peargrade
