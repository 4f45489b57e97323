// Which servers the tables use, and which records of servers may be forgotten.
#pragma once

#include <functional>
#include <set>

#include "decision/server_state.h"
#include "decision/slice_state.h"

namespace peargrade::decision {

/// Servers by their part in the tables of this supervisor's slices.
struct RouteUsage {
  /// In a published table.
  std::set<ServerId> published;
  /// In a published table without a routable server.
  std::set<ServerId> indispensable;
  /// In a published table that no longer wants them.
  std::set<ServerId> stale;
  /// A primary server, or in a desired table.
  std::set<ServerId> desired;
};

/// `isRoutable`: whether proxies may send to a server.
[[nodiscard]] RouteUsage routeUsage(const SliceMap& slices,
                                    const std::function<bool(const ServerId&)>& isRoutable);

/// Erases servers that departed before a time, are not ejected and are in no table. Without this, records
/// would grow with every server that another one replaces.
void forgetDepartedServers(ServerMap& servers, const SliceMap& slices, Micros departedBefore);

}  // namespace peargrade::decision
