#include "locality/locality_map.h"

#include <arpa/inet.h>

#include <algorithm>

namespace peargrade::locality {

LocalityMap::LocalityMap(const std::vector<op::Place>& places, const discovery::Names& names) {
  for (const op::Place& p : places)
    ranges_.push_back({p.net, p.mask, std::max(0, discovery::indexOf(names.zones, p.zone)),
                       std::max(0, discovery::indexOf(names.kinds, p.kind)), p.podGroup});
}

bool LocalityMap::locate(const std::string& address, membership::ServiceRecord& record) const {
  in_addr numbers{};
  const bool four = inet_pton(AF_INET, address.c_str(), &numbers) == 1;
  for (const At& at : ranges_) {
    if (four ? (ntohl(numbers.s_addr) & at.mask) != at.net : at.mask != 0) continue;
    record.zone = at.zone;
    record.kind = at.kind;
    record.cell = at.cell;
    return true;
  }
  return false;
}

}  // namespace peargrade::locality
