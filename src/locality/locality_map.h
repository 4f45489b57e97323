/// Locality of servers that the roster does not list, found by their network address. Does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "membership/membership.h"
#include "operator/operator.h"

namespace peargrade::locality {

/// Maps the addresses of one source's servers to zone, kind and pod group, by network ranges.
class LocalityMap {
 public:
  /// Ranges are matched in the order of `places`. A zone or kind that is not in `names` becomes index 0.
  LocalityMap(const std::vector<op::Place>& places, const discovery::Names& names);
  /// Sets zone, kind and cell of `record` from the first range that contains `address`, an IP address without
  /// a port. Returns false, with `record` unchanged, if there is none. An IPv6 address matches only a range
  /// of prefix length 0.
  bool locate(const std::string& address, membership::ServiceRecord& record) const;

 private:
  struct Range {
    std::uint32_t network;
    std::uint32_t mask;
    int zone;
    int kind;
    int cell;
  };
  std::vector<Range> ranges_;
};

}  // namespace peargrade::locality
