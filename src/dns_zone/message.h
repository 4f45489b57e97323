// Messages of updates, notices and transfers (RFC 1035, 1995, 1996, 2136, 5936, 8945) to and from the wire.
// ldns reads the records; what does not fit is a format error and nothing more.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dns_zone/record.h"

namespace peargrade::dns_zone {

// RFC 1035, section 4.1.1; Notify: RFC 1996; Update: RFC 2136.
enum class Opcode { Query = 0, Notify = 4, Update = 5 };
// Response codes (RFC 1035, section 4.1.1; RFC 2136, section 2.2).
enum class Rcode {
  NoError = 0,
  FormErr = 1,
  ServFail = 2,
  NxDomain = 3,
  NotImp = 4,
  Refused = 5,
  YxDomain = 6,
  YxRrset = 7,
  NxRrset = 8,
  NotAuth = 9,
  NotZone = 10,
};
// As the RFCs write it: "NXDOMAIN".
const char* nameOf(Rcode rcode);

inline constexpr std::uint16_t kIn = 1, kClassNone = 254, kClassAny = 255;
inline constexpr std::uint16_t kTypeAny = 255, kTypeTsig = 250, kTypeIxfr = 251, kTypeAxfr = 252;

// A record as a message has it: of any type and class, its data without compression.
struct RawRecord {
  std::string name;  // canonical
  std::uint16_t type = 0, cls = kIn;
  std::uint32_t ttl = 0;
  std::string data;
};
// A record of a zone as messages have it, of class IN.
RawRecord rawOf(const Record& record);

// A DNS message without its wire form.
struct Message {
  std::uint16_t id = 0;
  bool response = false, authoritative = false, truncated = false;
  Opcode opcode = Opcode::Query;
  Rcode rcode = Rcode::NoError;
  // The zone section of an update.
  std::string name;
  std::uint16_t type = 0, cls = kIn;
  bool hasQuestion = false;
  std::vector<RawRecord> answer, authority, additional;  // prerequisites, changes and the rest of an update
  // Where the TSIG record begins, if the message ends with one; it is not in `additional`.
  std::optional<std::size_t> tsigAt;
  RawRecord tsig;
};

// What a message may hold at most.
struct MessageBounds {
  std::size_t records = 20000;
};

// Nothing where the bytes are no message, or hold more than the bounds. `id` is set wherever a header could
// be read.
std::optional<Message> decodeMessage(const std::string& bytes, const MessageBounds& bounds = {});
std::string encodeMessage(const Message& message);
// One record as encodeMessage writes it.
std::string encodeRecord(const RawRecord& record);

}  // namespace peargrade::dns_zone
