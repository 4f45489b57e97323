#include "dns_zone/message.h"

#include <ldns/ldns.h>

#include <memory>

namespace peargrade::dns_zone {
namespace {

constexpr std::size_t kHeaderSize = 12;

struct RrFree {
  void operator()(ldns_rr* r) const { ldns_rr_free(r); }
};

std::string u16(unsigned v) { return {static_cast<char>(v >> 8 & 255), static_cast<char>(v & 255)}; }
std::string u32(std::uint32_t v) { return u16(v >> 16) + u16(v & 0xFFFF); }

std::string bytesOf(const ldns_rdf* rdf) {
  return {reinterpret_cast<const char*>(ldns_rdf_data(rdf)), ldns_rdf_size(rdf)};
}

// Reads one record at `at` and advances `at`. Returns false if the record is malformed.
bool readRecord(const std::string& bytes, std::size_t& at, bool question, RawRecord& record) {
  ldns_rr* parsed = nullptr;
  const ldns_status status =
      ldns_wire2rr(&parsed, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(), &at,
                   question ? LDNS_SECTION_QUESTION : LDNS_SECTION_ANSWER);
  if (status != LDNS_STATUS_OK) return false;
  const std::unique_ptr<ldns_rr, RrFree> rr(parsed);
  std::size_t start = 0;
  const auto name = readName(bytesOf(ldns_rr_owner(rr.get())), start);
  if (!name) return false;
  record.name = *name;
  record.type = static_cast<std::uint16_t>(ldns_rr_get_type(rr.get()));
  record.cls = static_cast<std::uint16_t>(ldns_rr_get_class(rr.get()));
  record.ttl = question ? 0 : ldns_rr_ttl(rr.get());
  for (std::size_t k = 0; k < ldns_rr_rd_count(rr.get()); ++k)
    record.data += bytesOf(ldns_rr_rdf(rr.get(), k));
  return true;
}

}  // namespace

const char* nameOf(Rcode rcode) {
  static const char* const names[] = {"NOERROR",  "FORMERR", "SERVFAIL", "NXDOMAIN", "NOTIMP", "REFUSED",
                                      "YXDOMAIN", "YXRRSET", "NXRRSET",  "NOTAUTH",  "NOTZONE"};
  const auto k = static_cast<std::size_t>(rcode);
  return k < sizeof names / sizeof *names ? names[k] : "?";
}

RawRecord rawOf(const Record& record) {
  return {record.name, static_cast<std::uint16_t>(record.type), kIn, record.ttl, record.data};
}

std::optional<Message> decodeMessage(const std::string& bytes, const MessageBounds& bounds) {
  if (bytes.size() < kHeaderSize) return std::nullopt;
  const auto number = [&](std::size_t k) {
    return static_cast<unsigned>(static_cast<unsigned char>(bytes[k]) << 8 |
                                 static_cast<unsigned char>(bytes[k + 1]));
  };
  Message m;
  m.id = static_cast<std::uint16_t>(number(0));
  const unsigned flags = number(2);
  m.response = (flags & 0x8000) != 0;
  m.opcode = static_cast<Opcode>(flags >> 11 & 15);
  m.authoritative = (flags & 0x0400) != 0;
  m.truncated = (flags & 0x0200) != 0;
  m.rcode = static_cast<Rcode>(flags & 15);
  const unsigned questions = number(4);
  if (questions > 1 || number(6) + number(8) + number(10) > bounds.records) return std::nullopt;
  std::size_t at = kHeaderSize;
  if (questions == 1) {
    RawRecord question;
    if (!readRecord(bytes, at, true, question)) return std::nullopt;
    m.hasQuestion = true;
    m.name = question.name;
    m.type = question.type;
    m.cls = question.cls;
  }
  const std::pair<unsigned, std::vector<RawRecord>*> sections[] = {
      {number(6), &m.answer}, {number(8), &m.authority}, {number(10), &m.additional}};
  for (const auto& [count, section] : sections) {
    for (unsigned k = 0; k < count; ++k) {
      const std::size_t begin = at;
      RawRecord record;
      if (!readRecord(bytes, at, false, record)) return std::nullopt;
      if (record.type == kTypeTsig) {
        // TSIG must be the last record and occur once (RFC 8945, section 5.1).
        if (section != &m.additional || k + 1 != count) return std::nullopt;
        m.tsigAt = begin;
        m.tsig = std::move(record);
        continue;
      }
      section->push_back(std::move(record));
    }
  }
  if (at != bytes.size()) return std::nullopt;
  return m;
}

std::string encodeRecord(const RawRecord& r) {
  return wireName(r.name) + u16(r.type) + u16(r.cls) + u32(r.ttl) +
         u16(static_cast<unsigned>(r.data.size())) + r.data;
}

std::string encodeMessage(const Message& m) {
  const unsigned flags = (m.response ? 0x8000u : 0u) | static_cast<unsigned>(m.opcode) << 11 |
                         (m.authoritative ? 0x0400u : 0u) | (m.truncated ? 0x0200u : 0u) |
                         static_cast<unsigned>(m.rcode);
  std::string bytes =
      u16(m.id) + u16(flags) + u16(m.hasQuestion ? 1 : 0) + u16(static_cast<unsigned>(m.answer.size())) +
      u16(static_cast<unsigned>(m.authority.size())) + u16(static_cast<unsigned>(m.additional.size()));
  if (m.hasQuestion) bytes += wireName(m.name) + u16(m.type) + u16(m.cls);
  for (const auto* section : {&m.answer, &m.authority, &m.additional}) {
    for (const RawRecord& r : *section) bytes += encodeRecord(r);
  }
  return bytes;
}

}  // namespace peargrade::dns_zone
