// Fake for an authoritative name server over UDP and TCP at one loopback address, written from RFC 1035,
// 2181, 2308, 2782 and 6891 with a wire writer of its own. It runs on a loop that the caller owns and fails
// as told.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fakes/dns_endpoint.h"

namespace peargrade::fakes {

class NameServer {
 public:
  explicit NameServer(event_base* base, const std::string& host = "127.0.0.1", std::uint16_t port = 0);
  const net::Address& address() const { return endpoint_.address(); }

  // ---- What it is asked for ----
  struct Data {
    std::uint16_t type = 1;  // 1 A, 5 CNAME, 28 AAAA, 33 SRV
    std::string value;       // address or target
    std::uint16_t priority = 0, weight = 0, port = 0;
    std::uint32_t ttl = 60;
  };
  std::map<std::string, std::vector<Data>> names;  // lower case, no dot at the end
  std::uint32_t negativeTtl = 5;                   // of the SOA of the zone
  std::string zone = "example.org";
  void srv(const std::string& name, const std::string& target, std::uint16_t port, std::uint16_t priority = 0,
           std::uint16_t weight = 10, std::uint32_t ttl = 60);
  void a(const std::string& name, const std::string& address, std::uint32_t ttl = 60);
  void cname(const std::string& name, const std::string& target, std::uint32_t ttl = 60);

  // ---- Misbehaviour ----
  enum class Fault {
    Silent,         // no answer
    Truncated,      // TC and the first half of the records
    TruncatedBare,  // TC and no records
    ServFail,
    Refused,
    FormErr,
    LameReferral,  // points to another server, no answer
    OldServer,     // FORMERR to EDNS(0), good without
    WrongId,       // and below: answers that are not to the question
    WrongName,
    WrongType,
    WrongClass,
    NoResponseBit,
    Poison,         // a good answer with records that nobody asked for
    Malformed,      // ends within a record
    Loop,           // a name that points to itself
    Oversized,      // more than the buffer that was told
    Contradiction,  // a CNAME beside the records of the same name
    AliasLoop,      // two CNAMEs that lead to each other
    NxWithData,     // NXDOMAIN with the records
    Reset,          // TCP: reset before the answer
    HalfAnswer,     // TCP: half of the answer, then closed in order
    Pieces,         // TCP: byte by byte, good
  };
  enum class Over { Both, Udp, Tcp };
  // All questions from now on, or only those for `name`; the first that fits holds.
  void fail(Fault fault, Over over = Over::Both, const std::string& name = "");
  void heal() { scripts_.clear(); }
  void refuse(bool on);  // closes its sockets, or opens them again at the same address
  std::function<std::string(const std::string& query)> raw;  // the bytes of an answer in place of its own

  // ---- What was seen ----
  struct Seen {
    std::string name;
    std::uint16_t type, id, port;
    bool tcp, edns;
  };
  std::vector<Seen> seen;
  std::size_t asked(const std::string& name, std::uint16_t type) const;

 private:
  struct Script {
    Fault fault;
    Over over;
    std::string name;
  };
  struct Query;
  struct Reply;

  std::string answerDatagram(const std::string& query, std::uint16_t port);
  bool answerStream(DnsEndpoint::Peer peer, const std::string& query);
  const Script* scriptFor(const std::string& name, bool tcp) const;
  // The answer's bytes; empty: none.
  std::string answer(const std::string& query, bool tcp, std::uint16_t port, const Script*& script);
  Reply goodReply(const Query& query) const;
  // Each spoils the reply as the fault says; false: there is no answer.
  bool spoil(Reply& reply, const Query& query, Fault fault) const;
  void spoilRecords(Reply& reply, const Query& query, Fault fault) const;

  DnsEndpoint endpoint_;
  std::vector<Script> scripts_;
};

}  // namespace peargrade::fakes
