// The list of servers as the module holds it, put together from the news that came through the exchange.
#pragma once

#include <map>

#include "support/loop.h"

namespace peargrade {

// The state of each server that is listed.
inline std::map<ServerId, EndpointState> serverList(const Seen& seen) {
  std::map<ServerId, EndpointState> all;
  for (const EndpointListUpdate& news : seen.all<EndpointListUpdate>()) {
    if (news.kind == EndpointListKind::Full) all.clear();
    for (const Endpoint& e : news.endpoints) {
      all[e.server] = e.state;
      if (e.state == EndpointState::Removed) all.erase(e.server);
    }
  }
  return all;
}

}  // namespace peargrade
