// Records shared by the zone tests.
#pragma once

#include "dns_zone/record.h"

namespace peargrade::dns_zone {

// Returns the SOA of example.org with this serial.
inline Record soa(std::uint32_t serial) {
  Record r{"example.org", Type::SOA, 60, ""};
  const char* const words[] = {"ns.example.org", "h.example.org", "1", "3600", "600", "86400", "30"};
  for (std::size_t k = 0; k < 7; ++k) r.data += *encodeField(Type::SOA, k, words[k]);
  r.data = withSerial(r.data, serial);
  return r;
}

}  // namespace peargrade::dns_zone
