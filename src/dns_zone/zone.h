// A zone as a value type: RRsets by name and type, the serial, and the difference of two zones. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dns_zone/record.h"

namespace peargrade::dns_zone {

/// Whether serial `a` is later than `b` (RFC 1982, 32 bits). If they are 2^31 apart, neither is later.
bool later(std::uint32_t a, std::uint32_t b);
/// The next serial; never 0, which some implementations treat as "none".
std::uint32_t nextSerial(std::uint32_t serial);

/// Whether `name` is `origin` or below it. Both are canonical.
inline bool within(const std::string& name, const std::string& origin) {
  return name == origin || origin.empty() ||
         (name.size() > origin.size() && name[name.size() - origin.size() - 1] == '.' &&
          name.compare(name.size() - origin.size(), origin.size(), origin) == 0);
}

/// All records of a zone, by name and type.
class Zone {
 public:
  struct Key {
    std::string name;
    Type type;
    bool operator<(const Key& o) const { return name != o.name ? name < o.name : type < o.type; }
    bool operator==(const Key& o) const { return name == o.name && type == o.type; }
  };
  struct Set {
    std::uint32_t ttl = 0;  // one for the RRset (RFC 2181, section 5.2)
    std::set<std::string> data;
    bool operator==(const Set& o) const { return ttl == o.ttl && data == o.data; }
  };

  Zone() = default;
  explicit Zone(std::string origin) : origin_(std::move(origin)) {}

  const std::string& origin() const { return origin_; }
  const std::map<Key, Set>& sets() const { return sets_; }
  std::size_t records() const { return records_; }
  const Set* find(const std::string& name, Type type) const;
  bool hasName(const std::string& name) const;
  std::vector<Key> at(const std::string& name) const;

  /// The SOA of the zone; all zero if it has none.
  Soa soa() const;
  std::uint32_t serial() const { return soa().serial; }
  void setSerial(std::uint32_t serial);

  /// Adds a record; its TTL becomes that of the RRset. An SOA replaces the existing one. Returns false if the
  /// zone already contained the same record with the same TTL.
  bool add(const Record& record);
  bool remove(const std::string& name, Type type, const std::string& data);
  bool removeSet(const std::string& name, Type type);

  std::vector<Record> all() const;  // the SOA first, then by name and type
  bool operator==(const Zone& o) const { return origin_ == o.origin_ && sets_ == o.sets_; }
  bool operator!=(const Zone& o) const { return !(*this == o); }
  /// Whether the zones are equal apart from the serial.
  bool sameContent(const Zone& o) const;

 private:
  std::string origin_;
  std::map<Key, Set> sets_;
  std::size_t records_ = 0;
};

/// The records to remove from a zone and to add to it to obtain another one. A record whose TTL changed is in
/// both.
struct Difference {
  std::vector<Record> removed;
  std::vector<Record> added;
  bool empty() const { return removed.empty() && added.empty(); }
};
/// The difference that turns `from` into `to`.
Difference difference(const Zone& from, const Zone& to);

}  // namespace peargrade::dns_zone
