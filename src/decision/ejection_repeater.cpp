#include "decision/ejection_repeater.h"

#include <optional>
#include <string>

namespace peargrade::decision {
namespace {

/// An ejection by an earlier engine may be in force for a server that started this long before the first
/// proxy with unknown state connected, or later. Covers the time in which a supervisor restarts.
constexpr Micros kUnknownEjectionAge = 40 * kSecond;
/// Longest time for which the readmission of such a server waits for an update that is sent anyway.
constexpr Micros kUnknownEjectionDelay = 2 * kSecond;

}  // namespace

void EjectionRepeater::markUnconfirmed(ServerMap& servers) {
  if (hasNewProxies_) markEjections(servers);
  hasNewProxies_ = false;
  markUnknownEjections(servers);
}

void EjectionRepeater::markEjections(ServerMap& servers) {
  for (auto& [id, server] : servers) {
    if (server.ejection.isEjected()) server.ejection.markUnconfirmed();
  }
}

std::size_t EjectionRepeater::markMissedReadmissions(const UpdateRange& missed, ServerMap& servers) {
  std::size_t readmissions = 0;
  for (auto& [id, server] : servers) {
    if (server.ejection.isEjected() || !missed.contains(server.ejection.lastUpdate())) continue;
    server.ejection.markUnconfirmed();
    ++readmissions;
  }
  if (readmissions == 0) return 0;
  actions_.log("repeating " + std::to_string(readmissions) +
               " readmissions that reconnected proxies may have missed");
  return readmissions;
}

// If an engine ends after it has ejected a server that drains, proxies ignore the next process of that server
// until it is readmitted. Servers that this engine has ejected or readmitted itself need nothing.
void EjectionRepeater::markUnknownEjections(ServerMap& servers) const {
  const std::optional<Micros> unknownSince = applied_.unknownStateSince();
  if (!unknownSince) return;
  for (auto& [id, server] : servers) {
    const bool isUnpublished = server.ejection.lastUpdate() == 0 && !server.ejection.needsRepeat();
    const bool mayBeEjected = server.endpoint.startedAt > *unknownSince - kUnknownEjectionAge;
    if (isUnpublished && mayBeEjected && server.isReady())
      server.ejection.markUnknown(clock_.now() + kUnknownEjectionDelay);
  }
}

}  // namespace peargrade::decision
