#include "dns_zone/image.h"

namespace peargrade::dns_zone {
namespace {

class Out {
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
  void request(const Remembered& r) {
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

// Reads what Out wrote; everything after a fault is empty, and good() is false.
class In {
 public:
  explicit In(const std::string& bytes) : bytes_(bytes) {}

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
      const auto type = typeOf(static_cast<std::uint16_t>(number(2)));
      r.ttl = static_cast<std::uint32_t>(number(4));
      r.data = text();
      good_ = good_ && type && canonicalData(*type, r.data) == r.data;
      if (!good_) return {};
      r.type = *type;
      all.push_back(std::move(r));
    }
    return all;
  }
  Remembered request() {
    Remembered r;
    r.key = text();
    r.mac = text();
    r.id = static_cast<std::uint16_t>(number(2));
    r.rcode = static_cast<Rcode>(number(1));
    r.until = static_cast<std::int64_t>(number(8));
    r.at = static_cast<std::int64_t>(number(8));
    return r;
  }
  bool good() const { return good_; }
  bool whole() const { return good_ && at_ == bytes_.size(); }

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

std::string encodeStep(const Step& step) {
  Out out;
  out.records(step.change.removed);
  out.records(step.change.added);
  out.request(step.request);
  return out.take();
}

std::optional<Step> decodeStep(const std::string& bytes) {
  In in(bytes);
  Step step;
  step.change.removed = in.records();
  step.change.added = in.records();
  step.request = in.request();
  if (!in.whole()) return std::nullopt;
  return step;
}

std::string encodeImage(const Zone& zone, const std::vector<Remembered>& requests,
                        const std::vector<Age>& ages, Micros freshAt) {
  Out out;
  out.text(zone.origin());
  out.records(zone.all());
  out.number(requests.size(), 4);
  for (const Remembered& r : requests) out.request(r);
  out.number(ages.size(), 4);
  for (const Age& age : ages) {
    out.text(age.endpoint);
    out.number(static_cast<std::uint64_t>(age.since), 8);
  }
  out.number(static_cast<std::uint64_t>(freshAt), 8);
  return out.take();
}

std::optional<Image> decodeImage(const std::string& bytes) {
  In in(bytes);
  Image image;
  image.zone = Zone(in.text());
  for (const Record& r : in.records()) image.zone.add(r);
  for (std::uint64_t left = in.number(4); left > 0 && in.good(); --left)
    image.requests.push_back(in.request());
  for (std::uint64_t left = in.number(4); left > 0 && in.good(); --left) {
    Age age;
    age.endpoint = in.text();
    age.since = static_cast<Micros>(in.number(8));
    image.ages.push_back(std::move(age));
  }
  image.freshAt = static_cast<Micros>(in.number(8));
  if (!in.whole()) return std::nullopt;
  return image;
}

}  // namespace peargrade::dns_zone
