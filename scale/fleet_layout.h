// What all workers of the simulated fleet share: the limits in the supervisors' configuration, the names of
// servers and zones, the assignment of slices and servers to supervisors, and the text of the configuration.
#pragma once

#include <string>

#include "net/net.h"
#include "scale/scenario.h"

namespace peargrade::scale {

/// A simulated proxy applies a command after this time.
inline constexpr Micros kProxyApplyDelay = 200000;

// Limits in the configuration of every supervisor. The workers check that they are kept.
inline constexpr Micros kListRequestDeadline = 10000000;  // without a list, it is requested within this time
inline constexpr Micros kMaxUnroutable = 5000000;  // a slice may be without a usable route for this time
inline constexpr Micros kDrainGrace = 2000000;     // routes may lead to a draining server for this time
inline constexpr int kMaxMessages = 30;            // to a proxy within kMessageWindow
inline constexpr Micros kMessageWindow = 10000000;
inline constexpr double kMaxQueuedLines = 30000;  // in the update channel of a supervisor

std::string serverName(const Scenario& scenario, int number);
std::string zoneName(int number);
/// Zone of a server or a proxy.
int zoneOf(const Scenario& scenario, int number);
/// The service that a supervisor directs.
int serviceOf(const Scenario& scenario, int supervisor);
/// Number of the server at `index` among the servers of a service.
int serverOf(const Scenario& scenario, int service, int index);
/// Number of the server that holds the slice at `index` of a supervisor at the start of a run.
int initialServerOf(const Scenario& scenario, int supervisor, int index);
/// The slices of a supervisor have consecutive numbers from this one on.
int firstSlice(const Scenario& scenario, int supervisor);
int totalSlices(const Scenario& scenario);

/// Text of the configuration file of a supervisor.
std::string configText(const Scenario& scenario, int supervisor, const net::Address& listen,
                       const net::Address& discovery, const net::Address& relay);

}  // namespace peargrade::scale
