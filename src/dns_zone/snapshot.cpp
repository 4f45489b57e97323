#include "dns_zone/snapshot.h"

namespace peargrade::dns_zone {
namespace {

class Encoder {
 public:
  void number(std::uint64_t value, int size) {
    for (int k = size - 1; k >= 0; --k) bytes_ += static_cast<char>(value >> (8 * k) & 255);
  }
  void text(const std::string& t) {
    number(t.size(), 4);
    bytes_ += t;
  }
  void records(const std::vector<Record>& all) {
    number(all.size(), 4);
    for (const Record& r : all) {
      text(r.name);
      number(static_cast<std::uint16_t>(r.type), 2);
      number(r.ttl, 4);
      text(r.data);
    }
  }
  void request(const AnsweredRequest& r) {
    text(r.key);
    text(r.mac);
    number(r.id, 2);
    number(static_cast<std::uint64_t>(r.rcode), 1);
    number(static_cast<std::uint64_t>(r.until), 8);
    number(static_cast<std::uint64_t>(r.at), 8);
  }
  std::string take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// Reads what Encoder wrote. After a fault every value is empty and good() is false.
class Decoder {
 public:
  explicit Decoder(const std::string& bytes) : bytes_(bytes) {}

  std::uint64_t number(int size) {
    std::uint64_t value = 0;
    if (!has(static_cast<std::size_t>(size))) return 0;
    for (int k = 0; k < size; ++k) value = value << 8 | static_cast<unsigned char>(bytes_[at_++]);
    return value;
  }
  std::string text() {
    const std::size_t size = number(4);
    if (!has(size)) return "";
    at_ += size;
    return bytes_.substr(at_ - size, size);
  }
  std::vector<Record> records() {
    std::vector<Record> all;
    for (std::uint64_t left = number(4); left > 0 && good_; --left) {
      Record r;
      r.name = text();
      const auto type = typeFromNumber(static_cast<std::uint16_t>(number(2)));
      r.ttl = static_cast<std::uint32_t>(number(4));
      r.data = text();
      good_ = good_ && type && canonicalData(*type, r.data) == r.data;
      if (!good_) return {};
      r.type = *type;
      all.push_back(std::move(r));
    }
    return all;
  }
  AnsweredRequest request() {
    AnsweredRequest r;
    r.key = text();
    r.mac = text();
    r.id = static_cast<std::uint16_t>(number(2));
    r.rcode = static_cast<Rcode>(number(1));
    r.until = static_cast<std::int64_t>(number(8));
    r.at = static_cast<std::int64_t>(number(8));
    return r;
  }
  bool good() const { return good_; }
  bool complete() const { return good_ && at_ == bytes_.size(); }

 private:
  bool has(std::size_t size) {
    good_ = good_ && bytes_.size() - at_ >= size;
    return good_;
  }

  const std::string& bytes_;
  std::size_t at_ = 0;
  bool good_ = true;
};

}  // namespace

std::string encodeJournalEntry(const JournalEntry& entry) {
  Encoder out;
  out.records(entry.change.removed);
  out.records(entry.change.added);
  out.request(entry.request);
  return out.take();
}

std::optional<JournalEntry> decodeJournalEntry(const std::string& bytes) {
  Decoder in(bytes);
  JournalEntry entry;
  entry.change.removed = in.records();
  entry.change.added = in.records();
  entry.request = in.request();
  if (!in.complete()) return std::nullopt;
  return entry;
}

std::string encodeSnapshot(const Zone& zone, const std::vector<AnsweredRequest>& requests,
                           const std::vector<EndpointSince>& firstSeen, Micros freshAt) {
  Encoder out;
  out.text(zone.origin());
  out.records(zone.all());
  out.number(requests.size(), 4);
  for (const AnsweredRequest& r : requests) out.request(r);
  out.number(firstSeen.size(), 4);
  for (const EndpointSince& seen : firstSeen) {
    out.text(seen.endpoint);
    out.number(static_cast<std::uint64_t>(seen.since), 8);
  }
  out.number(static_cast<std::uint64_t>(freshAt), 8);
  return out.take();
}

std::optional<Snapshot> decodeSnapshot(const std::string& bytes) {
  Decoder in(bytes);
  Snapshot snapshot;
  snapshot.zone = Zone(in.text());
  for (const Record& r : in.records()) snapshot.zone.add(r);
  for (std::uint64_t left = in.number(4); left > 0 && in.good(); --left)
    snapshot.requests.push_back(in.request());
  for (std::uint64_t left = in.number(4); left > 0 && in.good(); --left) {
    EndpointSince seen;
    seen.endpoint = in.text();
    seen.since = static_cast<Micros>(in.number(8));
    snapshot.firstSeen.push_back(std::move(seen));
  }
  snapshot.freshAt = static_cast<Micros>(in.number(8));
  if (!in.complete()) return std::nullopt;
  return snapshot;
}

}  // namespace peargrade::dns_zone
