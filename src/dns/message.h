// Encoding of questions and decoding of answers of the Domain Name System (RFC 1034, 1035, 2782, 3596, 6891),
// with ldns. Decoding classifies a response against its question and returns only the records that answer it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dns {

/// Record types. RFC 1035, section 3.2.2; AAAA: RFC 3596; SRV: RFC 2782.
enum class Type : std::uint16_t { A = 1, CNAME = 5, SOA = 6, AAAA = 28, SRV = 33 };
const char* nameOf(Type type);

/// The name in lower case without the trailing dot; "" is the root.
std::string canonical(std::string name);
/// Whether the name is valid in a question: letters, digits, "-", "_", and the lengths of RFC 1035,
/// section 2.3.4.
bool isName(const std::string& name);

/// A question of class IN.
struct Question {
  std::string name;  // canonical
  Type type = Type::A;
  bool operator<(const Question& o) const { return type != o.type ? type < o.type : name < o.name; }
  bool operator==(const Question& o) const { return type == o.type && name == o.name; }
  std::string text() const { return name + " " + nameOf(type); }
};

/// One record of an answer.
struct Record {
  Type type = Type::A;
  std::uint32_t ttl = 0;       // seconds; 0 if the highest bit was set (RFC 2181, section 8)
  std::string value;           // A, AAAA: the address as text; CNAME, SRV: the target, canonical
  std::uint16_t priority = 0;  // SRV
  std::uint16_t weight = 0;    // SRV
  std::uint16_t port = 0;      // SRV
  bool operator==(const Record& o) const {
    return type == o.type && value == o.value && priority == o.priority && weight == o.weight &&
           port == o.port;
  }
};

/// Classification of a response to a question, or of its absence.
enum class Verdict {
  Answer,     // records of the requested type, at the name or at the end of its CNAME chain
  NoData,     // the name exists, but has no records of this type
  NxDomain,   // the name does not exist
  Chain,      // CNAMEs that lead to a name for which the message has no data
  Truncated,  // incomplete: the full answer is available over TCP; `records` may hold a part
  ServFail,   // this and the next three: the server failed or refused to answer
  Refused,
  FormErr,
  NotImp,
  Lame,            // a referral to other name servers instead of an answer
  Unrelated,       // not a response to this question: other id, name, type or class, or no response at all
  Malformed,       // has the id of the query, but cannot be parsed or is too long
  Contradiction,   // conflicting records for one name
  TooManyRecords,  // more records than Bounds::records
};
/// The name in logs and command output, e.g. "nxdomain".
const char* nameOf(Verdict verdict);

/// The decoded content of one response.
struct Answer {
  Verdict verdict = Verdict::Malformed;
  std::vector<Record> records;     // of the requested type, without duplicates, sorted
  std::vector<std::string> chain;  // targets of the CNAMEs, in order
  std::uint32_t ttl = 0;   // seconds; minimum of records and chain, or of the negative answer (RFC 2308)
  bool soa = false;        // a negative answer with the SOA that limits its lifetime
  int skippedRecords = 0;  // records that do not answer the question: other names, types, classes
};

/// Limits of one response.
struct Bounds {
  std::size_t records = 4096;
  int chain = 8;              // CNAMEs
  std::size_t bytes = 65535;  // of the message
};

/// Encodes a query. `payload` is the EDNS(0) buffer size; 0 sends no EDNS(0). Throws std::invalid_argument if
/// the name is invalid.
std::string encode(const Question& question, std::uint16_t id, int payload);
/// Decodes and classifies a response to `question`. Invalid input does not throw.
Answer decode(const std::string& bytes, const Question& question, std::uint16_t id, const Bounds& bounds);

}  // namespace peargrade::dns
