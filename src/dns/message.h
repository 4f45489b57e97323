// Questions and answers of the Domain Name System (RFC 1034, 1035, 2782, 3596, 6891) on the wire, by ldns.
// What is not an answer to the question that was asked is told apart here, and nothing else of a message gets
// out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dns {

// RFC 1035, section 3.2.2; AAAA: RFC 3596; SRV: RFC 2782.
enum class Type : std::uint16_t { A = 1, CNAME = 5, SOA = 6, AAAA = 28, SRV = 33 };
const char* nameOf(Type type);

// A name in lower case without the dot at its end; "" is the root.
std::string canonical(std::string name);
bool isName(const std::string& name);  // could stand in a question (RFC 1035, section 2.3.4)

// What is asked of a name server, of class IN.
struct Question {
  std::string name;  // canonical
  Type type = Type::A;
  bool operator<(const Question& o) const { return type != o.type ? type < o.type : name < o.name; }
  bool operator==(const Question& o) const { return type == o.type && name == o.name; }
  std::string text() const { return name + " " + nameOf(type); }
};

// One record of an answer.
struct Record {
  Type type = Type::A;
  std::uint32_t ttl = 0;  // seconds; with its highest bit set it counts as 0 (RFC 2181, section 8)
  std::string value;      // A, AAAA: the address as text; CNAME, SRV: the target, canonical
  std::uint16_t priority = 0, weight = 0, port = 0;  // SRV
  bool operator==(const Record& o) const {
    return type == o.type && value == o.value && priority == o.priority && weight == o.weight &&
           port == o.port;
  }
};

// What a response, or its absence, means for the question.
enum class Verdict {
  Answer,     // records of the type that was asked, at the name or at the end of its chain
  NoData,     // the name is there, the type is not
  NxDomain,   // the name is not there
  Chain,      // CNAMEs that lead to a name the message says nothing of
  Truncated,  // more there is, over TCP; `records` may hold some
  ServFail,   // and below: what the server did not want to or could not answer
  Refused,
  FormErr,
  NotImp,
  Lame,           // points elsewhere instead of answering
  Stranger,       // not an answer to this question: other id, name, type or class, or no answer at all
  Malformed,      // carries the id that was asked and cannot be read
  Contradiction,  // says two things of one name
  TooMany,        // more records than may be
};
// As logs and answers have it: "nxdomain".
const char* nameOf(Verdict verdict);

// What one response says.
struct Answer {
  Verdict verdict = Verdict::Malformed;
  std::vector<Record> records;     // of the type asked, each once, in an order of their own
  std::vector<std::string> chain;  // names that CNAMEs led to, in order
  std::uint32_t ttl = 0;           // seconds; least of records and chain, or of a negative answer (RFC 2308)
  bool soa = false;                // a negative answer with the SOA that bounds its lifetime
  int unasked = 0;                 // records left out: other names, types, classes
};

// What a response may hold at most.
struct Bounds {
  std::size_t records = 4096;
  int chain = 8;
  std::size_t bytes = 65535;  // of a message
};

// `payload` 0: without EDNS(0).
std::string encode(const Question& question, std::uint16_t id, int payload);
// Never throws for what the bytes hold.
Answer decode(const std::string& bytes, const Question& question, std::uint16_t id, const Bounds& bounds);

}  // namespace peargrade::dns
