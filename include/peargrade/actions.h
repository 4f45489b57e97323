// What the decision engine asks for. Actions take effect in their order; those from SetRoute to
// AcknowledgementRequest form one update of the proxies.
#pragma once

#include <string>
#include <variant>

#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade {

/// TimerFired with the same token is due after `delay` microseconds.
struct SetTimer {
  Micros delay = 0;
  std::string token;
};

/// Subscribes to the endpoint list, or ends the subscription.
struct WatchEndpoints {
  bool enabled = true;
};

/// Asks once for the whole endpoint list.
struct PollEndpoints {};

/// Sends one health check to a server; HealthCheckResult follows.
struct HealthCheck {
  ServerId server;
};

/// Sends bytes to every other supervisor.
struct SendGossip {
  std::string payload;
};

/// Sets the weight of a server in a table: proxies choose among the routes in proportion to their weights.
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

/// Takes a server out of all tables, whatever routes name it, or lets its routes count again.
struct SetEjection {
  ServerId server;
  EjectionState state = EjectionState::Ejected;
};

/// Sets what part of the requests of some classes proxies admit and how they retry.
struct SetAdmission {
  TableId table = kAllTables;
  /// Sum of 2^k over the classes k; 0: all.
  unsigned classMask = 0;
  /// Admitted share of the requests, 0 to 1. The rest is rejected at once.
  double ratio = 1;
  RetryPolicy retryPolicy = RetryPolicy::Never;
};

/// Ends an update: each proxy that has applied it answers with UpdateAcknowledged.
struct AcknowledgementRequest {
  /// 0 to 65535, ascending, then again from 0.
  int updateId = 0;
  /// Whether the update is also sent to proxies that none of its tables concerns.
  bool everyProxy = false;
};

/// A line for the log, for people.
struct Log {
  std::string text;
};

using Action = std::variant<SetTimer, WatchEndpoints, PollEndpoints, HealthCheck, SendGossip, SetRoute,
                            ClearTable, SetEjection, SetAdmission, AcknowledgementRequest, Log>;

}  // namespace peargrade
