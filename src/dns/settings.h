// Settings of the resolver, from the operator's file. Times in microseconds, sizes in bytes.
#pragma once

#include <vector>

#include "net/net.h"

namespace peargrade::dns {

/// The `dns` block of the operator's file.
struct Settings {
  std::vector<net::Address> servers;  // name servers; latency and failures decide which one is used
  Micros tryFor = 400000;             // timeout of the first UDP attempt; doubles with each attempt
  Micros tryMost = 2000000;           // upper limit of the UDP timeout
  int tries = 4;                      // UDP attempts of one query, over all servers
  Micros tcpFor = 2000000;            // timeout of one exchange over TCP, including the connect
  Micros lookupFor = 6000000;         // timeout of one question, including its CNAME chain
  Micros ttlLeast = 1000000;          // lower limit of a lifetime; applies to TTL 0
  Micros ttlMost = 3600000000;        // upper limit of a lifetime
  Micros negativeMost = 60000000;  // upper limit of the lifetime of a negative answer (RFC 2308, section 5)
  Micros staleFor = 3600000000;    // how long an expired answer may be served (RFC 8767, section 4)
  Micros failureHold = 1000000;    // initial backoff of a question that failed
  double refreshAt = 0.8;          // refresh time, as a fraction of the lifetime
  double spread = 0.1;             // jitter: the refresh is earlier by up to this fraction of the lifetime
  std::size_t cacheEntries = 20000;
  std::size_t cacheBytes = std::size_t{8} << 20;
  std::size_t records = 4096;   // limit of one answer; an answer with more records is rejected
  int chain = 8;                // limit of the CNAMEs in a chain
  int payload = 1232;           // EDNS(0) buffer size (RFC 6891, section 6.2.3)
  int inFlight = 64;            // limit of concurrent questions; more are queued in order
  std::size_t waiting = 65536;  // limit of the queue; more questions are rejected
};

}  // namespace peargrade::dns
