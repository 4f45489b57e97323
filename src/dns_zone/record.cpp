#include "dns_zone/record.h"

#include <arpa/inet.h>
#include <ldns/ldns.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace peargrade::dns_zone {
namespace {

struct RdfFree {
  void operator()(ldns_rdf* r) const { ldns_rdf_deep_free(r); }
};
using Rdf = std::unique_ptr<ldns_rdf, RdfFree>;
struct RrFree {
  void operator()(ldns_rr* r) const { ldns_rr_free(r); }
};
using Rr = std::unique_ptr<ldns_rr, RrFree>;
struct CFree {
  void operator()(void* p) const { std::free(p); }
};

constexpr std::size_t kSoaNumbersSize = 20;  // five 32-bit numbers

enum class FieldKind { Address4, Address6, Name, Number16, Number32, Seconds, Texts };

struct TypeLayout {
  Type type;
  const char* name;
  std::vector<FieldKind> kinds;
  std::vector<Field> fields;
};

const std::vector<TypeLayout>& typeLayouts() {
  static const Field target{"the target", "a domain name"};
  static const char* const number = "a whole number from 0 to 65535";
  static const char* const seconds = "seconds, or a number with s, m, h, d or w";
  static const std::vector<TypeLayout> all = {
      {Type::A, "A", {FieldKind::Address4}, {{"the address", "an IPv4 address"}}},
      {Type::NS, "NS", {FieldKind::Name}, {target}},
      {Type::CNAME, "CNAME", {FieldKind::Name}, {target}},
      {Type::SOA,
       "SOA",
       {FieldKind::Name, FieldKind::Name, FieldKind::Number32, FieldKind::Seconds, FieldKind::Seconds,
        FieldKind::Seconds, FieldKind::Seconds},
       {{"the primary", "a domain name"},
        {"the mailbox", "a domain name"},
        {"the serial", "a whole number from 0 to 4294967295"},
        {"refresh", seconds},
        {"retry", seconds},
        {"expire", seconds},
        {"the negative TTL", seconds}}},
      {Type::TXT, "TXT", {FieldKind::Texts}, {{"the text", "texts of at most 255 characters"}}},
      {Type::AAAA, "AAAA", {FieldKind::Address6}, {{"the address", "an IPv6 address"}}},
      {Type::SRV,
       "SRV",
       {FieldKind::Number16, FieldKind::Number16, FieldKind::Number16, FieldKind::Name},
       {{"the priority", number}, {"the weight", number}, {"the port", number}, target}},
  };
  return all;
}

const TypeLayout& layoutOf(Type type) {
  const auto& all = typeLayouts();
  return *std::find_if(all.begin(), all.end(), [&](const TypeLayout& s) { return s.type == type; });
}

std::string bytesOf(const ldns_rdf* rdf) {
  return {reinterpret_cast<const char*>(ldns_rdf_data(rdf)), ldns_rdf_size(rdf)};
}

bool allDigits(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

bool isHostName(const std::string& name) {
  if (name.empty()) return true;  // the root
  if (name.size() > 253) return false;
  std::size_t label = 0;
  for (const char c : name) {
    const bool valid = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    if (!valid || (c == '.' && label == 0)) return false;
    label = c == '.' ? 0 : label + 1;
    if (label > 63) return false;
  }
  return label > 0;
}

// Parses RDATA with ldns; null if the bytes are invalid for the type or have trailing bytes.
Rr parseRdata(Type type, const std::string& data) {
  if (data.size() > 65535) return nullptr;
  const auto number = static_cast<unsigned>(type);
  std::string wire("\0\0\0\0\1\0\0\0\0\0\0", 11);
  wire[1] = static_cast<char>(number >> 8);
  wire[2] = static_cast<char>(number & 255);
  wire[9] = static_cast<char>(data.size() >> 8);
  wire[10] = static_cast<char>(data.size() & 255);
  wire += data;
  ldns_rr* rr = nullptr;
  std::size_t at = 0;
  const ldns_status status = ldns_wire2rr(&rr, reinterpret_cast<const std::uint8_t*>(wire.data()),
                                          wire.size(), &at, LDNS_SECTION_ANSWER);
  if (status != LDNS_STATUS_OK) return nullptr;
  Rr owned(rr);
  return at == wire.size() ? std::move(owned) : nullptr;
}

std::uint32_t number32(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t k = 0; k < 4; ++k) value = value << 8 | static_cast<unsigned char>(bytes[at + k]);
  return value;
}
std::uint16_t number16(const std::string& bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[at]) << 8 |
                                    static_cast<unsigned char>(bytes[at + 1]));
}

}  // namespace

const char* nameOf(Type type) { return layoutOf(type).name; }

std::optional<Type> typeFromNumber(std::uint16_t number) {
  for (const TypeLayout& s : typeLayouts()) {
    if (static_cast<std::uint16_t>(s.type) == number) return s.type;
  }
  return std::nullopt;
}

std::optional<Type> typeNamed(const std::string& name) {
  std::string upper = name;
  for (char& c : upper) c = c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  for (const TypeLayout& s : typeLayouts()) {
    if (upper == s.name) return s.type;
  }
  return std::nullopt;
}

const std::vector<Field>& fieldsOf(Type type) { return layoutOf(type).fields; }

std::optional<std::string> encodeField(Type type, std::size_t field, const std::string& text) {
  ldns_rdf* parsed = nullptr;
  ldns_status status = LDNS_STATUS_ERR;
  switch (layoutOf(type).kinds.at(field)) {
    case FieldKind::Address4:
      status = ldns_str2rdf_a(&parsed, text.c_str());
      break;
    case FieldKind::Address6:
      status = ldns_str2rdf_aaaa(&parsed, text.c_str());
      break;
    case FieldKind::Name: {
      std::string lower = text;
      for (char& c : lower) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      if (!lower.empty() && lower.back() == '.') lower.pop_back();
      if (!isHostName(lower)) return std::nullopt;
      return wireName(lower);
    }
    case FieldKind::Number16:
      if (!allDigits(text) || text.size() > 5 || std::stoul(text) > 65535) return std::nullopt;
      status = ldns_str2rdf_int16(&parsed, text.c_str());
      break;
    case FieldKind::Number32:
      if (!allDigits(text) || text.size() > 10 || std::stoull(text) > 0xFFFFFFFFull) return std::nullopt;
      status = ldns_str2rdf_int32(&parsed, text.c_str());
      break;
    case FieldKind::Seconds:
      if (text.find_first_not_of("0123456789smhdwSMHDW") != std::string::npos || text.size() > 12 ||
          text.empty())
        return std::nullopt;
      status = ldns_str2rdf_period(&parsed, text.c_str());
      break;
    case FieldKind::Texts: {
      if (text.size() > 255) return std::nullopt;
      return static_cast<char>(text.size()) + text;
    }
  }
  if (status != LDNS_STATUS_OK) return std::nullopt;
  return bytesOf(Rdf(parsed).get());
}

std::string textOf(Type type, const std::string& data) {
  const Rr rr = parseRdata(type, data);
  if (!rr) return "";
  std::string text;
  for (std::size_t k = 0; k < ldns_rr_rd_count(rr.get()); ++k) {
    const std::unique_ptr<char, CFree> word(ldns_rdf2str(ldns_rr_rdf(rr.get(), k)));
    text += (text.empty() ? "" : " ") + std::string(word ? word.get() : "?");
  }
  return text;
}

std::optional<std::string> canonicalData(Type type, const std::string& data) {
  const Rr rr = parseRdata(type, data);
  if (!rr) return std::nullopt;
  if (type != Type::TXT && ldns_rr_rd_count(rr.get()) != layoutOf(type).kinds.size()) return std::nullopt;
  if (type == Type::TXT && ldns_rr_rd_count(rr.get()) == 0) return std::nullopt;
  std::string canonical;
  for (std::size_t k = 0; k < ldns_rr_rd_count(rr.get()); ++k) {
    ldns_rdf* rdf = ldns_rr_rdf(rr.get(), k);
    if (ldns_rdf_get_type(rdf) == LDNS_RDF_TYPE_DNAME) {
      ldns_dname2canonical(rdf);
      std::size_t at = 0;
      const auto name = readName(bytesOf(rdf), at);
      if (!name || !isHostName(*name)) return std::nullopt;
    }
    canonical += bytesOf(rdf);
  }
  return canonical;
}

std::string wireName(const std::string& name) {
  std::string wire;
  for (std::size_t at = 0; at < name.size();) {
    const std::size_t dot = std::min(name.find('.', at), name.size());
    wire += static_cast<char>(dot - at) + name.substr(at, dot - at);
    at = dot + 1;
  }
  return wire + '\0';
}

std::optional<std::string> readName(const std::string& bytes, std::size_t& at) {
  std::string name;
  for (;;) {
    if (at >= bytes.size()) return std::nullopt;
    const std::size_t length = static_cast<unsigned char>(bytes[at]);
    if (length > 63 || at + 1 + length > bytes.size() || name.size() + length > 255) return std::nullopt;
    if (length == 0) break;
    if (!name.empty()) name += '.';
    for (std::size_t k = 0; k < length; ++k) {
      const char c = bytes[at + 1 + k];
      name += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    at += 1 + length;
  }
  ++at;
  return name;
}

std::optional<Soa> soaOf(const std::string& data) {
  std::size_t at = 0;
  if (!readName(data, at) || !readName(data, at) || data.size() != at + kSoaNumbersSize) return std::nullopt;
  return Soa{number32(data, at), number32(data, at + 4), number32(data, at + 8), number32(data, at + 12),
             number32(data, at + 16)};
}

std::string withSerial(const std::string& soa, std::uint32_t serial) {
  std::string changed = soa;
  for (std::size_t k = 0; k < 4; ++k)
    changed[soa.size() - kSoaNumbersSize + k] = static_cast<char>(serial >> (24 - 8 * k) & 255);
  return changed;
}

std::optional<Srv> srvOf(const std::string& data) {
  if (data.size() < 7) return std::nullopt;
  std::size_t at = 6;
  const auto target = readName(data, at);
  if (!target || at != data.size()) return std::nullopt;
  return Srv{number16(data, 0), number16(data, 2), number16(data, 4), *target};
}

std::vector<std::string> textsOf(const std::string& data) {
  std::vector<std::string> texts;
  for (std::size_t at = 0; at < data.size();) {
    const std::size_t length = static_cast<unsigned char>(data[at]);
    texts.push_back(data.substr(at + 1, length));
    at += 1 + length;
  }
  return texts;
}

std::string addressOf(Type type, const std::string& data) {
  char text[INET6_ADDRSTRLEN];
  const bool six = type == Type::AAAA;
  if (data.size() != (six ? 16u : 4u) ||
      inet_ntop(six ? AF_INET6 : AF_INET, data.data(), text, sizeof text) == nullptr)
    return "";
  return six ? "[" + std::string(text) + "]" : text;
}

}  // namespace peargrade::dns_zone
