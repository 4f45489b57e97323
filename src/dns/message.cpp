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

constexpr std::size_t kHeader = 12;
constexpr std::uint32_t kTtlMost = 0x7FFFFFFF;  // seconds (RFC 2181, section 8)
constexpr unsigned char kTruncatedBit = 0x02, kResponseBit = 0x80;

std::string textOf(const ldns_rdf* name) {
  const std::unique_ptr<char, CFree> text(ldns_rdf2str(name));
  return text ? canonical(text.get()) : "";
}

std::string ownerOf(const ldns_rr* rr) { return textOf(ldns_rr_owner(rr)); }

std::uint32_t ttlOf(const ldns_rr* rr) {
  const std::uint32_t ttl = ldns_rr_ttl(rr);
  return ttl > kTtlMost ? 0 : ttl;
}

bool inOrUnder(const std::string& name, const std::string& zone) {
  if (zone.empty() || name == zone) return true;
  return name.size() > zone.size() && name.compare(name.size() - zone.size(), zone.size(), zone) == 0 &&
         name[name.size() - zone.size() - 1] == '.';
}

bool readAddress(const ldns_rdf* data, int family, Record& record) {
  char text[INET6_ADDRSTRLEN];
  const std::size_t due = family == AF_INET ? 4 : 16;
  if (ldns_rdf_size(data) != due || inet_ntop(family, ldns_rdf_data(data), text, sizeof text) == nullptr)
    return false;
  record.value = text;
  return true;
}

// False where the data does not fit its type.
bool read(const ldns_rr* rr, Record& record) {
  record.ttl = ttlOf(rr);
  switch (record.type) {
    case Type::A:
      return ldns_rr_rd_count(rr) == 1 && readAddress(ldns_rr_rdf(rr, 0), AF_INET, record);
    case Type::AAAA:
      return ldns_rr_rd_count(rr) == 1 && readAddress(ldns_rr_rdf(rr, 0), AF_INET6, record);
    case Type::CNAME:
      if (ldns_rr_rd_count(rr) != 1) return false;
      record.value = textOf(ldns_rr_rdf(rr, 0));
      return true;
    case Type::SRV:
      if (ldns_rr_rd_count(rr) != 4) return false;
      record.priority = ldns_rdf2native_int16(ldns_rr_rdf(rr, 0));
      record.weight = ldns_rdf2native_int16(ldns_rr_rdf(rr, 1));
      record.port = ldns_rdf2native_int16(ldns_rr_rdf(rr, 2));
      record.value = textOf(ldns_rr_rdf(rr, 3));
      return true;
    case Type::SOA:
      return false;
  }
  return false;
}

// What a message says of names, as far as it is of a type that matters.
struct Said {
  std::map<std::string, std::vector<Record>> wanted;  // by owner, of the type asked
  std::map<std::string, Record> aliases;              // by owner
  bool contradiction = false, malformed = false;
};

Said gather(const ldns_rr_list* section, Type type, int& unasked) {
  Said said;
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(section); ++k) {
    const ldns_rr* rr = ldns_rr_list_rr(section, k);
    const bool alias = ldns_rr_get_type(rr) == LDNS_RR_TYPE_CNAME;
    if (ldns_rr_get_class(rr) != LDNS_RR_CLASS_IN ||
        (!alias && static_cast<std::uint16_t>(ldns_rr_get_type(rr)) != static_cast<std::uint16_t>(type))) {
      ++unasked;
      continue;
    }
    Record record;
    record.type = alias ? Type::CNAME : type;
    if (!read(rr, record)) {
      said.malformed = true;
      continue;
    }
    const std::string owner = ownerOf(rr);
    if (alias) {
      const auto [at, fresh] = said.aliases.emplace(owner, record);
      if (!fresh && at->second.value != record.value) said.contradiction = true;
    } else {
      said.wanted[owner].push_back(record);
    }
  }
  return said;
}

// The lifetime of "there is none": the lesser of the SOA's own and its last field (RFC 2308, section 5).
void readSoa(const ldns_rr_list* section, const std::string& name, Answer& answer) {
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(section); ++k) {
    const ldns_rr* rr = ldns_rr_list_rr(section, k);
    if (ldns_rr_get_type(rr) != LDNS_RR_TYPE_SOA || ldns_rr_rd_count(rr) != 7) continue;
    if (!inOrUnder(name, ownerOf(rr))) continue;
    const std::uint32_t least = ldns_rdf2native_int32(ldns_rr_rdf(rr, 6));
    answer.ttl = std::min(ttlOf(rr), least > kTtlMost ? 0 : least);
    answer.soa = true;
    return;
  }
}

bool pointsElsewhere(const ldns_rr_list* authority) {
  for (std::size_t k = 0; k < ldns_rr_list_rr_count(authority); ++k) {
    if (ldns_rr_get_type(ldns_rr_list_rr(authority, k)) == LDNS_RR_TYPE_NS) return true;
  }
  return false;
}

// One record for each thing said, in an order that does not depend on the message's. Of an SRV target with
// two priorities or weights the better holds.
std::vector<Record> settled(std::vector<Record> records) {
  std::sort(records.begin(), records.end(), [](const Record& a, const Record& b) {
    return std::tuple(a.value, a.port, a.priority, -static_cast<int>(a.weight)) <
           std::tuple(b.value, b.port, b.priority, -static_cast<int>(b.weight));
  });
  const auto same = [](const Record& a, const Record& b) { return a.value == b.value && a.port == b.port; };
  records.erase(std::unique(records.begin(), records.end(), same), records.end());
  return records;
}

Verdict refusalOf(ldns_pkt_rcode code) {
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

// Whether the message is a response to this question.
bool isAnswerTo(const Question& question, const ldns_pkt* packet, bool refused) {
  if (ldns_pkt_get_opcode(packet) != LDNS_PACKET_QUERY) return false;
  const ldns_rr_list* asked = ldns_pkt_question(packet);
  // Some servers leave the question out of a refusal; the id and the address have to do there.
  if (refused && ldns_rr_list_rr_count(asked) == 0) return true;
  if (ldns_rr_list_rr_count(asked) != 1) return false;
  const ldns_rr* rr = ldns_rr_list_rr(asked, 0);
  return ownerOf(rr) == question.name && ldns_rr_get_class(rr) == LDNS_RR_CLASS_IN &&
         static_cast<std::uint16_t>(ldns_rr_get_type(rr)) == static_cast<std::uint16_t>(question.type);
}

// Records of the type that was asked at other names.
int countOthers(const Said& said, const std::string& name) {
  int count = 0;
  for (const auto& [owner, records] : said.wanted) {
    if (owner != name) count += static_cast<int>(records.size());
  }
  return count;
}

// Of a response without the records that were asked for, and without a chain.
Verdict withoutRecords(const ldns_pkt* packet, const Answer& answer) {
  return !answer.soa && pointsElsewhere(ldns_pkt_authority(packet)) ? Verdict::Lame : Verdict::NoData;
}

// Whether the bytes are a response with this id.
bool isResponse(const std::string& bytes, std::uint16_t id) {
  const auto* head = reinterpret_cast<const unsigned char*>(bytes.data());
  return bytes.size() >= kHeader && (head[0] << 8 | head[1]) == id && (head[2] & kResponseBit) != 0;
}

// From the name that was asked along its CNAMEs; what hangs on no link of that chain was not asked for.
// `name` becomes the end of the chain, `ttl` the least lifetime on it. False where the chain contradicts
// itself or is longer than `most`.
bool followAliases(const Said& said, int most, std::string& name, std::uint32_t& ttl,
                   std::vector<std::string>& chain) {
  std::set<std::string> seen{name};
  for (auto alias = said.aliases.find(name); alias != said.aliases.end(); alias = said.aliases.find(name)) {
    if (said.wanted.count(name) != 0) return false;  // RFC 1034, section 3.6.2
    ttl = std::min(ttl, alias->second.ttl);
    name = alias->second.value;
    chain.push_back(name);
    if (!seen.insert(name).second || static_cast<int>(chain.size()) > most) return false;
  }
  return true;
}

// What a response says; its records and lifetimes go to `answer`.
Verdict read(const std::string& bytes, const Question& question, const Bounds& bounds, Answer& answer) {
  const bool truncated = (bytes[2] & kTruncatedBit) != 0;
  ldns_pkt* parsed = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&parsed, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  const Packet packet(status == LDNS_STATUS_OK ? parsed : nullptr);
  // A message cut in the middle of a record still says that there is more.
  if (!packet) return truncated ? Verdict::Truncated : Verdict::Malformed;
  const ldns_pkt_rcode code = ldns_pkt_get_rcode(packet.get());
  const bool refused = code != LDNS_RCODE_NOERROR && code != LDNS_RCODE_NXDOMAIN;
  if (!isAnswerTo(question, packet.get(), refused)) return Verdict::Stranger;
  if (refused) return refusalOf(code);

  const ldns_rr_list* section = ldns_pkt_answer(packet.get());
  if (ldns_rr_list_rr_count(section) > bounds.records) return Verdict::TooMany;
  Said said = gather(section, question.type, answer.unasked);
  if (said.malformed) return Verdict::Malformed;
  if (said.contradiction) return Verdict::Contradiction;

  std::string at = question.name;
  std::uint32_t least = kTtlMost;
  if (!followAliases(said, bounds.chain, at, least, answer.chain)) return Verdict::Contradiction;
  const auto found = said.wanted.find(at);
  answer.unasked += countOthers(said, at);
  if (found != said.wanted.end()) {
    if (code == LDNS_RCODE_NXDOMAIN) return Verdict::Contradiction;
    for (const Record& r : found->second) least = std::min(least, r.ttl);
    answer.records = settled(found->second);
    answer.ttl = least;
    return truncated ? Verdict::Truncated : Verdict::Answer;
  }
  if (truncated) return Verdict::Truncated;
  readSoa(ldns_pkt_authority(packet.get()), at, answer);
  if (code == LDNS_RCODE_NXDOMAIN) return Verdict::NxDomain;
  const bool chain = !answer.chain.empty() && !answer.soa;
  if (chain) answer.ttl = least;
  return chain ? Verdict::Chain : withoutRecords(packet.get(), answer);
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
    case Verdict::Stranger:
      return "stranger";
    case Verdict::Malformed:
      return "malformed";
    case Verdict::Contradiction:
      return "contradiction";
    case Verdict::TooMany:
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
  std::size_t label = 0;
  for (const char c : name) {
    const bool good = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '.';
    if (!good || (c == '.' && label == 0)) return false;
    label = c == '.' ? 0 : label + 1;
    if (label > 63) return false;
  }
  return true;
}

std::string encode(const Question& question, std::uint16_t id, int payload) {
  ldns_rdf* name = ldns_dname_new_frm_str((question.name + ".").c_str());
  if (name == nullptr) throw std::invalid_argument("no domain name: " + question.name);
  const Packet packet(
      ldns_pkt_query_new(name, static_cast<ldns_rr_type>(question.type), LDNS_RR_CLASS_IN, LDNS_RD));
  if (!packet) throw std::bad_alloc();
  ldns_pkt_set_id(packet.get(), id);
  if (payload > 0) ldns_pkt_set_edns_udp_size(packet.get(), static_cast<std::uint16_t>(payload));
  std::uint8_t* wire = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&wire, packet.get(), &size) != LDNS_STATUS_OK) throw std::bad_alloc();
  const std::unique_ptr<std::uint8_t, CFree> held(wire);
  return {reinterpret_cast<const char*>(wire), size};
}

Answer decode(const std::string& bytes, const Question& question, std::uint16_t id, const Bounds& bounds) {
  Answer answer;
  if (!isResponse(bytes, id))
    answer.verdict = Verdict::Stranger;
  else if (bytes.size() > bounds.bytes)
    answer.verdict = Verdict::Malformed;
  else
    answer.verdict = read(bytes, question, bounds, answer);
  if (answer.verdict != Verdict::Answer && answer.verdict != Verdict::Truncated) answer.records.clear();
  return answer;
}

}  // namespace peargrade::dns
