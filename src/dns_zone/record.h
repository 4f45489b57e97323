// Records of a zone (RFC 1035, 2782, 3596) in one form: names in lower case, data as on the wire without
// compression. ldns reads and writes the fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peargrade::dns_zone {

// The types that a zone of servers is made of; others are refused where they are met.
enum class Type : std::uint16_t { A = 1, NS = 2, CNAME = 5, SOA = 6, TXT = 16, AAAA = 28, SRV = 33 };
const char* nameOf(Type type);
std::optional<Type> typeOf(std::uint16_t number);
std::optional<Type> typeNamed(const std::string& name);  // any case

// One resource record of a zone, of class IN.
struct Record {
  std::string name;  // canonical: lower case, no dot at the end
  Type type = Type::A;
  std::uint32_t ttl = 0;  // seconds
  std::string data;       // RDATA
  bool operator==(const Record& o) const {
    return name == o.name && type == o.type && ttl == o.ttl && data == o.data;
  }
};

// One field of the data, as the type has them in order.
struct Field {
  const char* name;      // for messages: "the port"
  const char* expected;  // "a whole number from 0 to 65535"
};
// The fields of a type, in the order of its RFC.
const std::vector<Field>& fieldsOf(Type type);

// The wire form of one field from its words in a file; nothing where it is not one. Names must be whole.
std::optional<std::string> encodeField(Type type, std::size_t field, const std::string& text);

// The data as a file would have it; "" where the bytes do not fit the type.
std::string textOf(Type type, const std::string& data);
// Reads data from outside: its names in lower case. Nothing where the bytes do not fit the type, exactly.
std::optional<std::string> canonicalData(Type type, const std::string& data);

// A domain name as on the wire, without compression (RFC 1035, section 3.1).
std::string wireName(const std::string& name);
// A canonical name from the wire at `at`, which moves past it; no compression. Nothing where there is none.
std::optional<std::string> readName(const std::string& bytes, std::size_t& at);

// ---- Fields of the data that decisions need ----
struct Soa {
  std::uint32_t serial = 0, refresh = 0, retry = 0, expire = 0, negative = 0;  // seconds but for the serial
};
// Nothing where the bytes do not fit; so for srvOf.
std::optional<Soa> soaOf(const std::string& data);
std::string withSerial(const std::string& soa, std::uint32_t serial);

// The data of an SRV record (RFC 2782).
struct Srv {
  std::uint16_t priority = 0, weight = 0, port = 0;
  std::string target;
};
std::optional<Srv> srvOf(const std::string& data);
std::vector<std::string> textsOf(const std::string& data);  // of TXT
std::string addressOf(Type type, const std::string& data);  // of A and AAAA; AAAA in brackets

}  // namespace peargrade::dns_zone
