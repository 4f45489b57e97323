// A zone as a value: sets of records by name and type, its serial, and what differs between two of them. Free
// of I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dns_zone/record.h"

namespace peargrade::dns_zone {

// Serial arithmetic (RFC 1982, with 32 bits): is `a` later than `b`? Of two that are half the circle apart
// neither is.
bool later(std::uint32_t a, std::uint32_t b);
// The next one; never 0, which some take for "none".
std::uint32_t nextSerial(std::uint32_t serial);

inline bool within(const std::string& name, const std::string& origin) {
  return name == origin || origin.empty() ||
         (name.size() > origin.size() && name[name.size() - origin.size() - 1] == '.' &&
          name.compare(name.size() - origin.size(), origin.size(), origin) == 0);
}

// All records of a zone, by name and type.
class Zone {
 public:
  struct Key {
    std::string name;
    Type type;
    bool operator<(const Key& o) const { return name != o.name ? name < o.name : type < o.type; }
    bool operator==(const Key& o) const { return name == o.name && type == o.type; }
  };
  struct Set {
    std::uint32_t ttl = 0;  // one for the set (RFC 2181, section 5.2)
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

  // The SOA's, or all zero where there is none.
  Soa soa() const;
  std::uint32_t serial() const { return soa().serial; }
  void setSerial(std::uint32_t serial);

  // Adds a record; its lifetime becomes the set's. An SOA replaces the one there is. False: it was there just
  // so.
  bool add(const Record& record);
  bool remove(const std::string& name, Type type, const std::string& data);
  bool removeSet(const std::string& name, Type type);

  std::vector<Record> all() const;  // the SOA first, then by name and type
  bool operator==(const Zone& o) const { return origin_ == o.origin_ && sets_ == o.sets_; }
  bool operator!=(const Zone& o) const { return !(*this == o); }
  // The same but for the serial.
  bool sameContent(const Zone& o) const;

 private:
  std::string origin_;
  std::map<Key, Set> sets_;
  std::size_t records_ = 0;
};

// What is to be taken out of and put into a zone to make another of it; a changed lifetime is both.
struct Difference {
  std::vector<Record> removed, added;
  bool empty() const { return removed.empty() && added.empty(); }
};
// What makes `to` of `from`.
Difference difference(const Zone& from, const Zone& to);

}  // namespace peargrade::dns_zone
