// The list of servers as the module holds it, put together from the news that came through the exchange.
#pragma once

#include <map>

#include "support/loop.h"

namespace peargrade {

// The state of each server that is listed.
inline std::map<ServerId, ServerState> serverList(const Seen& seen) {
  std::map<ServerId, ServerState> all;
  for (const ListNews& news : seen.all<ListNews>()) {
    if (news.mode == ListMode::Full) all.clear();
    for (const ServerEntry& e : news.entries) {
      all[e.server] = e.state;
      if (e.state == ServerState::Gone) all.erase(e.server);
    }
  }
  return all;
}

}  // namespace peargrade
