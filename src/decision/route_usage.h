// Which servers the routing tables use, and which servers' state can be discarded.
#pragma once

#include <functional>
#include <optional>
#include <set>

#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/update_number.h"

namespace peargrade::decision {

/// Servers by how the tables of this supervisor's slices use them. A server may be in several sets.
struct RouteUsage {
  /// Servers with a published route.
  std::set<ServerId> published;
  /// Servers with a published route in a table in which no server is routable.
  std::set<ServerId> indispensable;
  /// Servers with a published route that is no longer desired.
  std::set<ServerId> stale;
  /// Primary servers and servers with a desired route.
  std::set<ServerId> desired;
};

/// `isRoutable`: whether proxies may send requests to a server.
[[nodiscard]] RouteUsage routeUsage(const SliceMap& slices,
                                    const std::function<bool(const ServerId&)>& isRoutable);

/// Erases the state of servers that departed before `departedBefore`, are in no table, and that no proxy may
/// treat as ejected. Disconnected proxies have applied the updates up to `appliedByDisconnected`; nullopt:
/// there is no such proxy. Bounds memory: server ids change with every replacement of a server.
void forgetDepartedServers(ServerMap& servers, const SliceMap& slices, Micros departedBefore,
                           std::optional<UpdateNumber> appliedByDisconnected);

}  // namespace peargrade::decision
