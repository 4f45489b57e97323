// What all parts of the hollow fleet have to agree on: names of servers and zones, who has which slices, and
// the configuration that a supervisor is told.
#pragma once

#include <string>

#include "net/net.h"
#include "scale/scenario.h"

namespace peargrade::scale {

inline constexpr Micros kApplyAfter = 200000;   // a proxy applies what was ordered after so long
inline constexpr Micros kAskWithin = 10000000;  // settings: the list must have been asked for within
inline constexpr Micros kBareMost = 5000000;    // settings: a slice may have no usable line for so long
inline constexpr Micros kDrainGrace = 2000000;  // settings
inline constexpr int kMessagesMost = 30;        // settings: to a proxy within kMessagesSpan
inline constexpr Micros kMessagesSpan = 10000000;
inline constexpr double kLinesWaitingMost = 30000;  // settings: in the channel of a supervisor

std::string serverName(const Scenario& scenario, int number);
std::string zoneName(int number);
// Of the servers and of the proxies alike.
int zoneOf(const Scenario& scenario, int number);
// A supervisor directs one service; the servers of it, by their place among them.
int serviceOf(const Scenario& scenario, int supervisor);
int serverOf(const Scenario& scenario, int service, int place);
// Where a slice of a supervisor is at first, by its place among its slices.
int homeOf(const Scenario& scenario, int supervisor, int place);
// The slices of a supervisor are numbered from this one on.
int firstSlice(const Scenario& scenario, int supervisor);
int slicesInAll(const Scenario& scenario);

// As a supervisor's file has it.
std::string configText(const Scenario& scenario, int supervisor, const net::Address& listen,
                       const net::Address& discovery, const net::Address& relay);

}  // namespace peargrade::scale
