// Fake for a primary name server: SOA over UDP, AXFR and IXFR over TCP (RFC 1995, 5936), NOTIFY (RFC
// 1996). It keeps the versions that a test gives it and fails as told. Records are written by src/dns_zone;
// the order of a transfer is its own.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dns_zone/message.h"
#include "dns_zone/zone.h"
#include "fakes/dns_endpoint.h"
#include "net/datagram.h"

namespace peargrade::fakes {

class Primary {
 public:
  explicit Primary(event_base* base, const std::string& host = "127.0.0.1");
  const net::Address& address() const { return endpoint_.address(); }

  void publish(const dns_zone::Zone& zone);  // the next version
  void notify(const net::Address& whom);     // tells of it
  const dns_zone::Zone& zone() const { return versions_.back(); }

  // ---- Misbehaviour ----
  bool silent = false;        // nothing is answered over UDP
  bool refuse = false;        // REFUSED to everything
  bool noChanges = false;     // NOTIMP to IXFR
  bool wrongChanges = false;  // IXFR with a removal of what is not there
  int dieAfter =
      -1;  // messages of a transfer, then a reset in the middle of the next; counts down no further
  bool hang = false;           // after `dieAfter` messages it falls silent instead
  std::size_t perMessage = 3;  // records
  void down(bool on);          // its sockets are closed, or open again

  // ---- What was seen ----
  int soas = 0, axfrs = 0, ixfrs = 0, notifyAnswers = 0;

 private:
  std::string answerDatagram(const std::string& query);
  bool answerStream(DnsEndpoint::Peer peer, const std::string& query);
  std::vector<dns_zone::RawRecord> transferFor(dns_zone::Message& message);
  bool sendTransfer(DnsEndpoint::Peer peer, dns_zone::Message message,
                    const std::vector<dns_zone::RawRecord>& records);
  std::vector<dns_zone::RawRecord> whole() const;
  std::vector<dns_zone::RawRecord> changes(std::uint32_t from) const;

  event_base* base_;
  DnsEndpoint endpoint_;
  std::vector<dns_zone::Zone> versions_;
  std::vector<std::unique_ptr<net::Datagram>> notices_;
};

}  // namespace peargrade::fakes
