// The endpoint list that results from the updates received from a dispatcher.
#pragma once

#include <map>

#include "support/loop.h"

namespace peargrade {

/// The state of each listed server after all recorded updates.
inline std::map<ServerId, EndpointState> serverList(const Seen& seen) {
  std::map<ServerId, EndpointState> states;
  for (const EndpointListUpdate& update : seen.all<EndpointListUpdate>()) {
    if (update.kind == EndpointListKind::Full) states.clear();
    for (const Endpoint& endpoint : update.endpoints) {
      if (endpoint.state == EndpointState::Removed)
        states.erase(endpoint.server);
      else
        states[endpoint.server] = endpoint.state;
    }
  }
  return states;
}

}  // namespace peargrade
