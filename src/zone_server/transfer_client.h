// A secondary's sockets: asks primaries for their SOA over UDP and for transfers over TCP, as
// dns_zone::Secondary says.
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

// Follows one zone from its primaries. Its limits are in microseconds.
class TransferClient {
 public:
  struct Limits {
    Micros soa = 1000000;      // an answer over UDP
    Micros silence = 5000000;  // between two messages of a transfer
    Micros whole = 120000000;  // a transfer
    std::size_t records = 1000000;
  };
  struct Handlers {
    std::function<const dns_zone::Zone*()> held;
    // A whole zone has come; false: it is not taken.
    std::function<bool(const dns_zone::Zone&)> came;
    std::function<void()> fresh;  // what is held is as new as the primary's, or has a new end
  };
  TransferClient(event_base* base, const std::string& label, const std::string& origin,
                 std::vector<net::Address> primaries, std::function<Micros()> clock, log::Log& log,
                 Limits limits, Handlers handlers);
  ~TransferClient();

  void begin(Micros freshAt);
  // A NOTIFY from this host (any port of it): false where it is no primary of ours.
  bool notified(const std::string& host);
  Micros expiresAt() const { return secondary_.expiresAt(); }

  struct Counts {
    std::uint64_t soas = 0, whole = 0, changes = 0, failed = 0, unfit = 0, notifies = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  void carryOut(const dns_zone::Secondary::Step& step);
  void askSoa();
  void onSoa(const std::string& bytes);
  void transfer();
  void onTransfer(evbuffer* input);
  void failed(const std::string& why);
  void close(log::CloseReason reason);

  event_base* base_;
  const std::string label_, origin_;
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
  net::Timer due_;
  net::IdleTimeout wait_, whole_;
  Counts counts_;
};

}  // namespace peargrade::zone_server
