// Where servers stand that the roster does not list, by their address. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "membership/membership.h"
#include "operator/operator.h"

namespace peargrade::locality {

// Where servers of a source stand, by their address.
class LocalityMap {
 public:
  LocalityMap(const std::vector<op::Place>& places, const discovery::Names& names);
  // False where no net holds the address. An IPv6 address is in a net of length 0 only.
  bool locate(const std::string& address, membership::ServiceRecord& record) const;

 private:
  struct At {
    std::uint32_t net, mask;
    int zone, kind, cell;
  };
  std::vector<At> ranges_;
};

}  // namespace peargrade::locality
