#include "dns_zone/first_seen.h"

namespace peargrade::dns_zone {

void FirstSeen::restore(const std::set<std::string>& offered, const std::vector<EndpointSince>& recent) {
  for (const std::string& endpoint : offered) since_[endpoint] = kLongAgo;
  for (const EndpointSince& seen : recent) {
    if (offered.count(seen.endpoint) != 0) since_[seen.endpoint] = seen.since;
  }
}

void FirstSeen::keep(const std::set<std::string>& offered) {
  for (auto at = since_.begin(); at != since_.end();)
    at = offered.count(at->first) == 0 ? since_.erase(at) : std::next(at);
}

std::vector<EndpointSince> FirstSeen::recent(Micros now) const {
  std::vector<EndpointSince> all;
  for (const auto& [endpoint, since] : since_) {
    if (since > now - kMaxWarmUp) all.push_back({endpoint, since});
  }
  return all;
}

}  // namespace peargrade::dns_zone
