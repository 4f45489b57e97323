// Fake primary name server: SOA over UDP, AXFR and IXFR over TCP (RFC 1995, 5936), NOTIFY (RFC 1996). It
// keeps the zone versions published by a test and injects faults on request. Records are encoded by
// src/dns_zone; the order of records in a transfer is implemented here.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dns_zone/message.h"
#include "dns_zone/zone.h"
#include "fakes/dns_endpoint.h"
#include "net/datagram.h"

namespace peargrade::fakes {

/// Serves the latest of the published zone versions. publish() must be called before the first query.
class Primary {
 public:
  explicit Primary(event_base* base, const std::string& host = "127.0.0.1");
  const net::Address& address() const { return endpoint_.address(); }

  /// Adds the next version of the zone.
  void publish(const dns_zone::Zone& zone);
  /// Sends a NOTIFY for the latest version.
  void notify(const net::Address& whom);
  /// The latest version.
  const dns_zone::Zone& zone() const { return versions_.back(); }

  // ---- Injected faults ----

  /// Does not answer over UDP.
  bool silent = false;
  /// Answers everything with REFUSED.
  bool refuse = false;
  /// Answers IXFR with NOTIMP.
  bool noChanges = false;
  /// Sends IXFR responses that remove a record which does not exist.
  bool wrongChanges = false;
  /// Resets the connection in the middle of the message after this many messages of each transfer; -1: never.
  int dieAfter = -1;
  /// Stops sending after `dieAfter` messages, without a reset.
  bool hang = false;
  /// Maximum number of records in a message of a transfer.
  std::size_t perMessage = 3;
  /// Closes the sockets, or opens them again at the same address.
  void down(bool on);

  // ---- Observed requests ----

  int soas = 0;
  int axfrs = 0;
  int ixfrs = 0;
  int notifyAnswers = 0;

 private:
  std::string answerDatagram(const std::string& query);
  bool answerStream(DnsEndpoint::Peer peer, const std::string& query);
  // Turns the request into the header of the response and returns the records to send.
  std::vector<dns_zone::RawRecord> prepareTransfer(dns_zone::Message& message);
  // Sends the records in messages of at most `perMessage` records, up to the injected fault. Returns false if
  // the connection has been closed.
  bool sendTransfer(DnsEndpoint::Peer peer, dns_zone::Message message,
                    const std::vector<dns_zone::RawRecord>& records);
  // The records of an AXFR response.
  std::vector<dns_zone::RawRecord> fullTransfer() const;
  // The records of an IXFR response from serial `from`; empty if that version is unknown.
  std::vector<dns_zone::RawRecord> incrementalTransfer(std::uint32_t from) const;

  event_base* base_;
  DnsEndpoint endpoint_;
  std::vector<dns_zone::Zone> versions_;
  std::vector<std::unique_ptr<net::Datagram>> notifySockets_;
};

}  // namespace peargrade::fakes
