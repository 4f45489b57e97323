#include "dns_zone/ages.h"

namespace peargrade::dns_zone {

void Ages::restore(const std::set<std::string>& offered, const std::vector<Age>& recent) {
  for (const std::string& endpoint : offered) since_[endpoint] = kLongAgo;
  for (const Age& age : recent) {
    if (offered.count(age.endpoint) != 0) since_[age.endpoint] = age.since;
  }
}

void Ages::keep(const std::set<std::string>& offered) {
  for (auto at = since_.begin(); at != since_.end();)
    at = offered.count(at->first) == 0 ? since_.erase(at) : std::next(at);
}

std::vector<Age> Ages::recent(Micros now) const {
  std::vector<Age> ages;
  for (const auto& [endpoint, since] : since_) {
    if (since > now - kOld) ages.push_back({endpoint, since});
  }
  return ages;
}

}  // namespace peargrade::dns_zone
