// What the operator's file says of the resolver. Times in microseconds, sizes in bytes.
#pragma once

#include <vector>

#include "net/net.h"

namespace peargrade::dns {

// The `dns` block of the operator's file.
struct Settings {
  std::vector<net::Address> servers;  // asked in the order of what they did lately
  Micros tryFor = 400000;             // the first wait for an answer over UDP; doubled a try
  Micros tryMost = 2000000;           // and no wait is longer
  int tries = 4;                      // of one question, over all servers
  Micros tcpFor = 2000000;            // a whole exchange over TCP
  Micros lookupFor = 6000000;         // a whole lookup with its chain and its addresses
  Micros ttlLeast = 1000000;          // floor of a lifetime; TTL 0 counts as this
  Micros ttlMost = 3600000000;        // ceiling
  Micros negativeMost = 60000000;     // ceiling of "there is none" (RFC 2308, section 5)
  Micros staleFor = 3600000000;       // an answer may serve so long past its end (RFC 8767, section 4)
  Micros failureHold = 1000000;       // a question that failed is not asked again sooner
  double refreshAt = 0.8;             // of the lifetime: asked again before it ends
  double spread = 0.1;                // and earlier by up to this share, so that many do not ask at once
  std::size_t cacheEntries = 20000;
  std::size_t cacheBytes = std::size_t{8} << 20;
  std::size_t records = 4096;   // of one answer; more is no answer
  int chain = 8;                // CNAMEs one after another
  int payload = 1232;           // EDNS(0) buffer size (RFC 6891, section 6.2.3)
  int inFlight = 64;            // questions asked at one time; others wait in order
  std::size_t waiting = 65536;  // and no more wait than this
};

}  // namespace peargrade::dns
