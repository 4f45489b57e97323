#include "locality/locality_map.h"

#include <arpa/inet.h>

#include <algorithm>

namespace peargrade::locality {

LocalityMap::LocalityMap(const std::vector<op::Place>& places, const discovery::Names& names) {
  for (const op::Place& place : places)
    ranges_.push_back({place.net, place.mask, std::max(0, discovery::indexOf(names.zones, place.zone)),
                       std::max(0, discovery::indexOf(names.kinds, place.kind)), place.podGroup});
}

bool LocalityMap::locate(const std::string& address, membership::ServiceRecord& record) const {
  in_addr ipv4{};
  const bool isIpv4 = inet_pton(AF_INET, address.c_str(), &ipv4) == 1;
  for (const Range& range : ranges_) {
    if (isIpv4 ? (ntohl(ipv4.s_addr) & range.mask) != range.network : range.mask != 0) continue;
    record.zone = range.zone;
    record.kind = range.kind;
    record.cell = range.cell;
    return true;
  }
  return false;
}

}  // namespace peargrade::locality
