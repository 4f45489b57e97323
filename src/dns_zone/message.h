// Encodes and decodes DNS messages of updates, NOTIFY and transfers (RFC 1035, 1995, 1996, 2136, 5936, 8945).
// ldns parses the records; a message that cannot be parsed is a format error without further detail.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dns_zone/record.h"

namespace peargrade::dns_zone {

/// RFC 1035, section 4.1.1; Notify: RFC 1996; Update: RFC 2136.
enum class Opcode { Query = 0, Notify = 4, Update = 5 };
/// Response codes (RFC 1035, section 4.1.1; RFC 2136, section 2.2).
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
/// The name in the RFCs: "NXDOMAIN".
const char* nameOf(Rcode rcode);

inline constexpr std::uint16_t kIn = 1;
inline constexpr std::uint16_t kClassNone = 254;
inline constexpr std::uint16_t kClassAny = 255;
inline constexpr std::uint16_t kTypeTsig = 250;
inline constexpr std::uint16_t kTypeIxfr = 251;
inline constexpr std::uint16_t kTypeAxfr = 252;
inline constexpr std::uint16_t kTypeAny = 255;

/// A record of any type and class as in a message; names in `data` are uncompressed.
struct RawRecord {
  std::string name;  // canonical: lower case, no dot at the end
  std::uint16_t type = 0;
  std::uint16_t cls = kIn;
  std::uint32_t ttl = 0;
  std::string data;
};
/// Converts a zone record to a message record of class IN.
RawRecord rawOf(const Record& record);

/// A decoded DNS message.
struct Message {
  std::uint16_t id = 0;
  bool response = false;
  bool authoritative = false;
  bool truncated = false;
  Opcode opcode = Opcode::Query;
  Rcode rcode = Rcode::NoError;
  // The question; in an update the zone section.
  std::string name;
  std::uint16_t type = 0;
  std::uint16_t cls = kIn;
  bool hasQuestion = false;
  std::vector<RawRecord> answer;     // update: the prerequisites
  std::vector<RawRecord> authority;  // update: the changes
  std::vector<RawRecord> additional;
  // Byte offset of the TSIG record if the message ends with one; `additional` does not contain it.
  std::optional<std::size_t> tsigAt;
  RawRecord tsig;
};

/// Limits of one message.
struct MessageBounds {
  std::size_t records = 20000;
};

/// Decodes a message; nullopt if the bytes are malformed or exceed the bounds.
std::optional<Message> decodeMessage(const std::string& bytes, const MessageBounds& bounds = {});
std::string encodeMessage(const Message& message);
/// Encodes one record as encodeMessage does.
std::string encodeRecord(const RawRecord& record);

}  // namespace peargrade::dns_zone
