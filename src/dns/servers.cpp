#include "dns/servers.h"

#include <algorithm>
#include <tuple>

namespace peargrade::dns {

std::size_t Servers::select(Micros now, const std::set<std::size_t>& tried) {
  const bool allTried = tried.size() >= servers_.size();
  std::size_t best = servers_.size();
  const auto rank = [&](std::size_t k) {
    const ServerStats& server = servers_[k];
    return std::tuple(server.backoffUntil > now ? server.backoffUntil : 0, server.smoothedLatency, k);
  };
  for (std::size_t k = 0; k < servers_.size(); ++k) {
    if (!allTried && tried.count(k) != 0) continue;
    if (best == servers_.size() || rank(k) < rank(best)) best = k;
  }
  // Decays the latency of the other servers by 2% so that each of them is probed again eventually.
  for (std::size_t k = 0; k < servers_.size(); ++k) {
    if (k != best) servers_[k].smoothedLatency -= servers_[k].smoothedLatency / 50;
  }
  return best;
}

void Servers::recordAnswer(std::size_t server, Micros latency) {
  ServerStats& stats = servers_[server];
  stats.smoothedLatency = stats.smoothedLatency == 0
                              ? std::max<Micros>(latency, 1)
                              : (7 * stats.smoothedLatency + std::max<Micros>(latency, 1)) / 8;
  stats.failures = 0;
  stats.backoffUntil = 0;
}

void Servers::recordFailure(std::size_t server, Micros now) {
  ServerStats& stats = servers_[server];
  stats.backoffUntil = now + std::min(kMaxBackoff, kInitialBackoff << std::min(stats.failures, 10));
  ++stats.failures;
}

}  // namespace peargrade::dns
