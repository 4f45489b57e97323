// The network side of a secondary: queries the SOA of its primaries over UDP and requests transfers over TCP.
// dns_zone::Secondary decides when and from which primary.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "dns_zone/secondary.h"
#include "dns_zone/transfer.h"
#include "log/log.h"
#include "net/datagram.h"
#include "net/net.h"

namespace peargrade::zone_server {

/// Keeps one zone up to date from its primaries.
class TransferClient {
 public:
  struct Limits {
    Micros soaTimeout = 1000000;         // for an answer over UDP, and for a TCP connection
    Micros messageTimeout = 5000000;     // between two messages of a transfer
    Micros transferTimeout = 120000000;  // for a complete transfer
    std::size_t maxRecords = 1000000;    // of a transfer
  };
  struct Handlers {
    /// The current zone; null if there is none yet.
    std::function<const dns_zone::Zone*()> currentZone;
    /// Called with the zone after a transfer. Returns whether it was accepted.
    std::function<bool(const dns_zone::Zone&)> zoneReceived;
    /// A primary has confirmed that the zone is up to date, so its expiry was extended.
    std::function<void()> upToDate;
  };
  TransferClient(event_base* base, const std::string& label, const std::string& origin,
                 std::vector<net::Address> primaries, std::function<Micros()> clock, log::Log& log,
                 Limits limits, Handlers handlers);
  ~TransferClient();

  /// Starts. `freshAt`: when a primary last confirmed the current zone, in Unix microseconds; 0 if unknown.
  void begin(Micros freshAt);
  /// Handles a NOTIFY from `host`, whatever its port. Returns false if the host is not a configured primary.
  bool onNotify(const std::string& host);
  Micros expiresAt() const { return secondary_.expiresAt(); }

  struct Counts {
    std::uint64_t soaQueries = 0;
    std::uint64_t axfrs = 0;
    std::uint64_t ixfrs = 0;
    std::uint64_t failed = 0;  // queries and transfers
    std::uint64_t unfit = 0;   // IXFRs that did not apply to the current zone
    std::uint64_t notifies = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  void execute(const dns_zone::Secondary::Step& step);
  void querySoa();
  void onSoa(const std::string& bytes);
  void transfer();
  void onTransfer(evbuffer* input);
  void onFailure(const std::string& why);
  void close(log::CloseReason reason);

  event_base* base_;
  const std::string label_;
  const std::string origin_;
  const std::vector<net::Address> primaries_;
  const std::function<Micros()> clock_;
  log::Log& log_;
  const Limits limits_;
  const Handlers handlers_;
  dns_zone::Secondary secondary_;
  dns_zone::Secondary::Step step_;
  std::uint16_t id_ = 0;
  std::unique_ptr<net::Datagram> udp_;
  std::unique_ptr<net::Stream> tcp_;
  std::unique_ptr<dns_zone::Transfer> transfer_;
  std::string input_;
  net::Timer nextStepTimer_;
  net::IdleTimeout answerTimeout_;
  net::IdleTimeout transferTimeout_;
  Counts counts_;
};

}  // namespace peargrade::zone_server
