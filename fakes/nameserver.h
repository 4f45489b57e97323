// Fake authoritative name server over UDP and TCP at one loopback address, written from RFC 1035, 2181, 2308,
// 2782 and 6891. It encodes messages independently of src/dns, so that an error there is not reproduced here.
// It runs on an event loop that the caller owns and injects faults on request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fakes/dns_endpoint.h"

namespace peargrade::fakes {

/// Answers queries from a table of records.
class NameServer {
 public:
  explicit NameServer(event_base* base, const std::string& host = "127.0.0.1", std::uint16_t port = 0);
  const net::Address& address() const { return endpoint_.address(); }

  // ---- Records ----

  struct Data {
    std::uint16_t type = 1;  // 1 A, 5 CNAME, 28 AAAA, 33 SRV
    std::string value;       // address or target
    std::uint16_t priority = 0;
    std::uint16_t weight = 0;
    std::uint16_t port = 0;
    std::uint32_t ttl = 60;
  };
  /// Records by name, in lower case and without the final dot.
  std::map<std::string, std::vector<Data>> names;
  /// Minimum field of the zone's SOA record, in seconds.
  std::uint32_t negativeTtl = 5;
  std::string zone = "example.org";
  void srv(const std::string& name, const std::string& target, std::uint16_t port, std::uint16_t priority = 0,
           std::uint16_t weight = 10, std::uint32_t ttl = 60);
  void a(const std::string& name, const std::string& address, std::uint32_t ttl = 60);
  void cname(const std::string& name, const std::string& target, std::uint32_t ttl = 60);

  // ---- Injected faults ----

  enum class Fault {
    Silent,         // no answer
    Truncated,      // TC bit and the first half of the records
    TruncatedBare,  // TC bit and no records
    ServFail,
    Refused,
    FormErr,
    LameReferral,   // a referral to another server, no answer
    OldServer,      // FORMERR to EDNS(0), a valid answer without it
    WrongId,        // the query id does not match
    WrongName,      // the name of the question does not match
    WrongType,      // the type of the question does not match
    WrongClass,     // the class of the question does not match
    NoResponseBit,  // the response bit (QR) is not set
    Poison,         // a valid answer with additional records of other names
    Malformed,      // the message ends within a record
    Loop,           // a compression pointer to itself
    Oversized,      // larger than the advertised UDP payload
    Contradiction,  // a CNAME together with other records of the same name
    AliasLoop,      // two CNAMEs that refer to each other
    NxWithData,     // NXDOMAIN with records
    Reset,          // TCP: reset before the answer
    HalfAnswer,     // TCP: half of the answer, then a graceful close
    Pieces,         // TCP: a valid answer, one byte at a time
  };
  enum class Over { Both, Udp, Tcp };
  /// Injects a fault into the answers to all queries, or to queries for `name` only. The first matching fault
  /// is used.
  void fail(Fault fault, Over over = Over::Both, const std::string& name = "");
  /// Removes all injected faults.
  void heal() { injectedFaults_.clear(); }
  /// Closes the sockets, or opens them again at the same address.
  void refuse(bool on);
  /// If set, returns the bytes of each answer in place of the encoded records.
  std::function<std::string(const std::string& query)> raw;

  // ---- Observed queries ----

  struct Seen {
    std::string name;
    std::uint16_t type;
    std::uint16_t id;
    std::uint16_t port;  // source port; 0 over TCP
    bool tcp;
    bool edns;
  };
  std::vector<Seen> seen;
  /// How many queries for this name and type have arrived.
  std::size_t asked(const std::string& name, std::uint16_t type) const;

 private:
  struct InjectedFault {
    Fault fault;
    Over over;
    std::string name;
  };
  struct Query;
  struct Reply;

  std::string answerDatagram(const std::string& query, std::uint16_t port);
  bool answerStream(DnsEndpoint::Peer peer, const std::string& query);
  const InjectedFault* findFault(const std::string& name, bool tcp) const;
  // Returns the encoded answer, or an empty string to send none.
  std::string answer(const std::string& query, bool tcp, std::uint16_t port, const InjectedFault*& injected);
  Reply makeReply(const Query& query) const;
  // Applies a fault to the reply. Returns false if no answer is sent.
  bool applyFault(Reply& reply, const Query& query, Fault fault) const;
  void applyRecordFault(Reply& reply, const Query& query, Fault fault) const;

  DnsEndpoint endpoint_;
  std::vector<InjectedFault> injectedFaults_;
};

}  // namespace peargrade::fakes
