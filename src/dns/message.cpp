#include "dns/message.h"

#include <arpa/inet.h>
#include <ldns/ldns.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <new>
#include <set>
#include <stdexcept>

namespace peargrade::dns {
namespace {

struct PacketFree {
  void operator()(ldns_pkt* p) const { ldns_pkt_free(p); }
};
using Packet = std::unique_ptr<ldns_pkt, PacketFree>;

struct CFree {
  void operator()(void* p) const { std::free(p); }
};

constexpr std::size_t kHeaderSize = 12;
constexpr std::uint32_t kMaxTtlSeconds = 0x7FFFFFFF;  // RFC 2181, section 8
// Flags in the third octet of the header (RFC 1035, section 4.1.1).
constexpr unsigned char kTruncatedBit = 0x02;
constexpr unsigned char kResponseBit = 0x80;

std::string formatName(const ldns_rdf* name) {
  const std::unique_ptr<char, CFree> text(ldns_rdf2str(name));
  return text ? canonical(text.get()) : "";
}

std::string ownerName(const ldns_rr* rr) { return formatName(ldns_rr_owner(rr)); }

std::uint32_t recordTtl(const ldns_rr* rr) {
  const std::uint32_t ttl = ldns_rr_ttl(rr);
  return ttl > kMaxTtlSeconds ? 0 : ttl;
}

bool isInZone(const std::string& name, const std::string& zone) {
  if (zone.empty() || name == zone) return true;
  return name.size() > zone.size() && name.compare(name.size() - zone.size(), zone.size(), zone) == 0 &&
         name[name.size() - zone.size() - 1] == '.';
}

bool parseAddress(const ldns_rdf* data, int family, Record& record) {
  char text[INET6_ADDRSTRLEN];
  const std::size_t expectedSize = family == AF_INET ? 4 : 16;
  if (ldns_rdf_size(data) != expectedSize ||
      inet_ntop(family, ldns_rdf_data(data), text, sizeof text) == nullptr)
    return false;
  record.value = text;
  return true;
}

// Returns false if the data does not match the record type.
bool parseRecord(const ldns_rr* rr, Record& record) {
  record.ttl = recordTtl(rr);
  switch (record.type) {
    case Type::A:
      return ldns_rr_rd_count(rr) == 1 && parseAddress(ldns_rr_rdf(rr, 0), AF_INET, record);
    case Type::AAAA:
      return ldns_rr_rd_count(rr) == 1 && parseAddress(ldns_rr_rdf(rr, 0), AF_INET6, record);
    case Type::CNAME:
      if (ldns_rr_rd_count(rr) != 1) return false;
      record.value = formatName(ldns_rr_rdf(rr, 0));
      return true;
    case Type::SRV:
      if (ldns_rr_rd_count(rr) != 4) return false;
      record.priority = ldns_rdf2native_int16(ldns_rr_rdf(rr, 0));
      record.weight = ldns_rdf2native_int16(ldns_rr_rdf(rr, 1));
      record.port = ldns_rdf2native_int16(ldns_rr_rdf(rr, 2));
      record.value = formatName(ldns_rr_rdf(rr, 3));
      return true;
    case Type::SOA:
      return false;
  }
  return false;
}

// The records of an answer section that may answer the question.
struct AnswerSection {
  std::map<std::string, std::vector<Record>> recordsByOwner;  // of the requested type
  std::map<std::string, Record> aliasesByOwner;               // CNAMEs
  bool contradiction = false;
  bool malformed = false;
};

AnswerSection parseAnswerSection(const ldns_rr_list* section, Type type, int& skippedRecords) {
  AnswerSection parsedSection;
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(section); ++k) {
    const ldns_rr* rr = ldns_rr_list_rr(section, k);
    const bool alias = ldns_rr_get_type(rr) == LDNS_RR_TYPE_CNAME;
    if (ldns_rr_get_class(rr) != LDNS_RR_CLASS_IN ||
        (!alias && static_cast<std::uint16_t>(ldns_rr_get_type(rr)) != static_cast<std::uint16_t>(type))) {
      ++skippedRecords;
      continue;
    }
    Record record;
    record.type = alias ? Type::CNAME : type;
    if (!parseRecord(rr, record)) {
      parsedSection.malformed = true;
      continue;
    }
    const std::string owner = ownerName(rr);
    if (alias) {
      const auto [at, inserted] = parsedSection.aliasesByOwner.emplace(owner, record);
      if (!inserted && at->second.value != record.value) parsedSection.contradiction = true;
    } else {
      parsedSection.recordsByOwner[owner].push_back(record);
    }
  }
  return parsedSection;
}

// Sets the lifetime of a negative answer: the minimum of the TTL and the MINIMUM field of the SOA (RFC 2308,
// section 5).
void parseNegativeTtl(const ldns_rr_list* section, const std::string& name, Answer& answer) {
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(section); ++k) {
    const ldns_rr* rr = ldns_rr_list_rr(section, k);
    if (ldns_rr_get_type(rr) != LDNS_RR_TYPE_SOA || ldns_rr_rd_count(rr) != 7) continue;
    if (!isInZone(name, ownerName(rr))) continue;
    const std::uint32_t minimum = ldns_rdf2native_int32(ldns_rr_rdf(rr, 6));
    answer.ttl = std::min(recordTtl(rr), minimum > kMaxTtlSeconds ? 0 : minimum);
    answer.soa = true;
    return;
  }
}

bool hasNameServers(const ldns_rr_list* authority) {
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(authority); ++k) {
    if (ldns_rr_get_type(ldns_rr_list_rr(authority, k)) == LDNS_RR_TYPE_NS) return true;
  }
  return false;
}

// Sorts the records and removes duplicates, so that the result does not depend on their order in the message.
// Of several SRV records with the same target and port, keeps the one with the lowest priority value, then
// the highest weight.
std::vector<Record> sortedUnique(std::vector<Record> records) {
  std::sort(records.begin(), records.end(), [](const Record& a, const Record& b) {
    return std::tuple(a.value, a.port, a.priority, -static_cast<int>(a.weight)) <
           std::tuple(b.value, b.port, b.priority, -static_cast<int>(b.weight));
  });
  const auto same = [](const Record& a, const Record& b) { return a.value == b.value && a.port == b.port; };
  records.erase(std::unique(records.begin(), records.end(), same), records.end());
  return records;
}

Verdict verdictOfErrorCode(ldns_pkt_rcode code) {
  switch (code) {
    case LDNS_RCODE_REFUSED:
      return Verdict::Refused;
    case LDNS_RCODE_FORMERR:
      return Verdict::FormErr;
    case LDNS_RCODE_NOTIMPL:
      return Verdict::NotImp;
    default:
      return Verdict::ServFail;
  }
}

// Whether the question section of the response matches the question.
bool answersQuestion(const Question& question, const ldns_pkt* packet, bool isError) {
  if (ldns_pkt_get_opcode(packet) != LDNS_PACKET_QUERY) return false;
  const ldns_rr_list* questionSection = ldns_pkt_question(packet);
  // Some servers omit the question from an error response; the caller has checked the id, and the socket the
  // address.
  if (isError && ldns_rr_list_rr_count(questionSection) == 0) return true;
  if (ldns_rr_list_rr_count(questionSection) != 1) return false;
  const ldns_rr* rr = ldns_rr_list_rr(questionSection, 0);
  return ownerName(rr) == question.name && ldns_rr_get_class(rr) == LDNS_RR_CLASS_IN &&
         static_cast<std::uint16_t>(ldns_rr_get_type(rr)) == static_cast<std::uint16_t>(question.type);
}

// Counts the records of the requested type at owners other than `name`.
int countOtherOwners(const AnswerSection& parsedSection, const std::string& name) {
  int count = 0;
  for (const auto& [owner, records] : parsedSection.recordsByOwner) {
    if (owner != name) count += static_cast<int>(records.size());
  }
  return count;
}

// The verdict of a response without records of the requested type and without a CNAME chain.
Verdict verdictWithoutRecords(const ldns_pkt* packet, const Answer& answer) {
  return !answer.soa && hasNameServers(ldns_pkt_authority(packet)) ? Verdict::Lame : Verdict::NoData;
}

// Whether the header is complete, has the response flag and this id.
bool isResponse(const std::string& bytes, std::uint16_t id) {
  const auto* header = reinterpret_cast<const unsigned char*>(bytes.data());
  return bytes.size() >= kHeaderSize && (header[0] << 8 | header[1]) == id && (header[2] & kResponseBit) != 0;
}

// Follows the CNAMEs from `name`, so that records outside of this chain are not used. Sets `name` to the end
// of the chain and lowers `ttl` to the minimum TTL of the chain. Returns false if the chain has a loop or
// more than `maxLength` CNAMEs, or if a name has both a CNAME and other records.
bool followAliases(const AnswerSection& parsedSection, int maxLength, std::string& name, std::uint32_t& ttl,
                   std::vector<std::string>& chain) {
  std::set<std::string> seen{name};
  for (auto alias = parsedSection.aliasesByOwner.find(name); alias != parsedSection.aliasesByOwner.end();
       alias = parsedSection.aliasesByOwner.find(name)) {
    if (parsedSection.recordsByOwner.count(name) != 0) return false;  // RFC 1034, section 3.6.2
    ttl = std::min(ttl, alias->second.ttl);
    name = alias->second.value;
    chain.push_back(name);
    if (!seen.insert(name).second || static_cast<int>(chain.size()) > maxLength) return false;
  }
  return true;
}

// Parses a response and stores its records and lifetime in `answer`.
Verdict parseResponse(const std::string& bytes, const Question& question, const Bounds& bounds,
                      Answer& answer) {
  const bool truncated = (bytes[2] & kTruncatedBit) != 0;
  ldns_pkt* parsed = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&parsed, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  const Packet packet(status == LDNS_STATUS_OK ? parsed : nullptr);
  // A message that is cut off inside a record still has its truncation flag, so TCP can be used.
  if (!packet) return truncated ? Verdict::Truncated : Verdict::Malformed;
  const ldns_pkt_rcode code = ldns_pkt_get_rcode(packet.get());
  const bool isError = code != LDNS_RCODE_NOERROR && code != LDNS_RCODE_NXDOMAIN;
  if (!answersQuestion(question, packet.get(), isError)) return Verdict::Unrelated;
  if (isError) return verdictOfErrorCode(code);

  const ldns_rr_list* section = ldns_pkt_answer(packet.get());
  if (ldns_rr_list_rr_count(section) > bounds.records) return Verdict::TooManyRecords;
  AnswerSection parsedSection = parseAnswerSection(section, question.type, answer.skippedRecords);
  if (parsedSection.malformed) return Verdict::Malformed;
  if (parsedSection.contradiction) return Verdict::Contradiction;

  std::string name = question.name;
  std::uint32_t ttl = kMaxTtlSeconds;
  if (!followAliases(parsedSection, bounds.chain, name, ttl, answer.chain)) return Verdict::Contradiction;
  const auto found = parsedSection.recordsByOwner.find(name);
  answer.skippedRecords += countOtherOwners(parsedSection, name);
  if (found != parsedSection.recordsByOwner.end()) {
    if (code == LDNS_RCODE_NXDOMAIN) return Verdict::Contradiction;
    for (const Record& record : found->second) ttl = std::min(ttl, record.ttl);
    answer.records = sortedUnique(found->second);
    answer.ttl = ttl;
    return truncated ? Verdict::Truncated : Verdict::Answer;
  }
  if (truncated) return Verdict::Truncated;
  parseNegativeTtl(ldns_pkt_authority(packet.get()), name, answer);
  if (code == LDNS_RCODE_NXDOMAIN) return Verdict::NxDomain;
  const bool openChain = !answer.chain.empty() && !answer.soa;
  if (openChain) answer.ttl = ttl;
  return openChain ? Verdict::Chain : verdictWithoutRecords(packet.get(), answer);
}

}  // namespace

const char* nameOf(Type type) {
  switch (type) {
    case Type::A:
      return "A";
    case Type::CNAME:
      return "CNAME";
    case Type::SOA:
      return "SOA";
    case Type::AAAA:
      return "AAAA";
    case Type::SRV:
      return "SRV";
  }
  return "?";
}

const char* nameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::Answer:
      return "answer";
    case Verdict::NoData:
      return "no-data";
    case Verdict::NxDomain:
      return "nxdomain";
    case Verdict::Chain:
      return "chain";
    case Verdict::Truncated:
      return "truncated";
    case Verdict::ServFail:
      return "servfail";
    case Verdict::Refused:
      return "refused";
    case Verdict::FormErr:
      return "formerr";
    case Verdict::NotImp:
      return "notimp";
    case Verdict::Lame:
      return "lame";
    case Verdict::Unrelated:
      return "stranger";
    case Verdict::Malformed:
      return "malformed";
    case Verdict::Contradiction:
      return "contradiction";
    case Verdict::TooManyRecords:
      return "too-many";
  }
  return "?";
}

std::string canonical(std::string name) {
  for (char& c : name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  if (!name.empty() && name.back() == '.') name.pop_back();
  return name;
}

bool isName(const std::string& name) {
  if (name.empty() || name.size() > 253) return false;
  std::size_t labelLength = 0;
  for (const char c : name) {
    const bool allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                         c == '-' || c == '_' || c == '.';
    if (!allowed || (c == '.' && labelLength == 0)) return false;
    labelLength = c == '.' ? 0 : labelLength + 1;
    if (labelLength > 63) return false;
  }
  return true;
}

std::string encode(const Question& question, std::uint16_t id, int payload) {
  ldns_rdf* name = ldns_dname_new_frm_str((question.name + ".").c_str());
  if (name == nullptr) throw std::invalid_argument("invalid domain name: '" + question.name + "'");
  const Packet packet(
      ldns_pkt_query_new(name, static_cast<ldns_rr_type>(question.type), LDNS_RR_CLASS_IN, LDNS_RD));
  if (!packet) throw std::bad_alloc();
  ldns_pkt_set_id(packet.get(), id);
  if (payload > 0) ldns_pkt_set_edns_udp_size(packet.get(), static_cast<std::uint16_t>(payload));
  std::uint8_t* wire = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&wire, packet.get(), &size) != LDNS_STATUS_OK) throw std::bad_alloc();
  const std::unique_ptr<std::uint8_t, CFree> owned(wire);
  return {reinterpret_cast<const char*>(wire), size};
}

Answer decode(const std::string& bytes, const Question& question, std::uint16_t id, const Bounds& bounds) {
  Answer answer;
  if (!isResponse(bytes, id))
    answer.verdict = Verdict::Unrelated;
  else if (bytes.size() > bounds.bytes)
    answer.verdict = Verdict::Malformed;
  else
    answer.verdict = parseResponse(bytes, question, bounds, answer);
  if (answer.verdict != Verdict::Answer && answer.verdict != Verdict::Truncated) answer.records.clear();
  return answer;
}

}  // namespace peargrade::dns
