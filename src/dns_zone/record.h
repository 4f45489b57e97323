// Zone records (RFC 1035, 2782, 3596) in canonical form: names in lower case, data in wire format without
// compression. ldns parses and formats the fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peargrade::dns_zone {

/// The supported record types. Zone files and updates with other types are rejected.
enum class Type : std::uint16_t { A = 1, NS = 2, CNAME = 5, SOA = 6, TXT = 16, AAAA = 28, SRV = 33 };
const char* nameOf(Type type);
std::optional<Type> typeFromNumber(std::uint16_t number);
std::optional<Type> typeNamed(const std::string& name);  // case-insensitive

/// One resource record of class IN.
struct Record {
  std::string name;  // canonical: lower case, no dot at the end
  Type type = Type::A;
  std::uint32_t ttl = 0;  // seconds
  std::string data;       // RDATA
  bool operator==(const Record& o) const {
    return name == o.name && type == o.type && ttl == o.ttl && data == o.data;
  }
};

/// One field of the RDATA, as named in error messages.
struct Field {
  const char* name;      // "the port"
  const char* expected;  // "a whole number from 0 to 65535"
};
/// The fields of a type in RDATA order.
const std::vector<Field>& fieldsOf(Type type);

/// Encodes one field from its text in a zone file; nullopt if the text is invalid. Names must be absolute.
std::optional<std::string> encodeField(Type type, std::size_t field, const std::string& text);

/// Formats RDATA as in a zone file; "" if the bytes are invalid for the type.
std::string textOf(Type type, const std::string& data);
/// Validates untrusted RDATA and converts its names to lower case; nullopt if the bytes are invalid for the
/// type or have trailing bytes.
std::optional<std::string> canonicalData(Type type, const std::string& data);

/// Encodes a domain name without compression (RFC 1035, section 3.1).
std::string wireName(const std::string& name);
/// Decodes an uncompressed name at `at` into canonical form and advances `at` past it; nullopt if malformed.
std::optional<std::string> readName(const std::string& bytes, std::size_t& at);

// ---- Decoded RDATA ----
struct Soa {
  std::uint32_t serial = 0;
  std::uint32_t refresh = 0;   // seconds
  std::uint32_t retry = 0;     // seconds
  std::uint32_t expire = 0;    // seconds
  std::uint32_t negative = 0;  // TTL of negative answers, seconds
};
/// Decodes SOA data; nullopt if malformed.
std::optional<Soa> soaOf(const std::string& data);
/// Returns the SOA data `soa` with its serial replaced.
std::string withSerial(const std::string& soa, std::uint32_t serial);

/// The data of an SRV record (RFC 2782).
struct Srv {
  std::uint16_t priority = 0;
  std::uint16_t weight = 0;
  std::uint16_t port = 0;
  std::string target;
};
/// Decodes SRV data; nullopt if malformed.
std::optional<Srv> srvOf(const std::string& data);
std::vector<std::string> textsOf(const std::string& data);  // the strings of a TXT record
std::string addressOf(Type type, const std::string& data);  // of A or AAAA; IPv6 in brackets

}  // namespace peargrade::dns_zone
