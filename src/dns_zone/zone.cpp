#include "dns_zone/zone.h"

#include <algorithm>

namespace peargrade::dns_zone {

bool later(std::uint32_t a, std::uint32_t b) {
  const std::uint32_t ahead = a - b;
  return ahead != 0 && ahead < 0x80000000u;
}

std::uint32_t nextSerial(std::uint32_t serial) { return serial + 1 == 0 ? 1 : serial + 1; }

const Zone::Set* Zone::find(const std::string& name, Type type) const {
  const auto at = sets_.find({name, type});
  return at == sets_.end() ? nullptr : &at->second;
}

bool Zone::hasName(const std::string& name) const {
  const auto first = sets_.lower_bound({name, static_cast<Type>(0)});
  return first != sets_.end() && first->first.name == name;
}

std::vector<Zone::Key> Zone::at(const std::string& name) const {
  std::vector<Key> keys;
  for (auto k = sets_.lower_bound({name, static_cast<Type>(0)}); k != sets_.end() && k->first.name == name;
       ++k)
    keys.push_back(k->first);
  return keys;
}

Soa Zone::soa() const {
  const Set* set = find(origin_, Type::SOA);
  return set == nullptr ? Soa{} : soaOf(*set->data.begin()).value_or(Soa{});
}

void Zone::setSerial(std::uint32_t serial) {
  const auto at = sets_.find({origin_, Type::SOA});
  if (at == sets_.end()) return;
  at->second.data = {withSerial(*at->second.data.begin(), serial)};
}

bool Zone::add(const Record& record) {
  Set& set = sets_[{record.name, record.type}];
  if (record.type == Type::SOA && !set.data.empty()) {
    const bool same = set.ttl == record.ttl && set.data.count(record.data) != 0;
    set = {record.ttl, {record.data}};
    return !same;
  }
  const bool inserted = set.data.insert(record.data).second;
  records_ += inserted;
  const bool changed = inserted || set.ttl != record.ttl;
  set.ttl = record.ttl;
  return changed;
}

bool Zone::remove(const std::string& name, Type type, const std::string& data) {
  const auto at = sets_.find({name, type});
  if (at == sets_.end() || at->second.data.erase(data) == 0) return false;
  --records_;
  if (at->second.data.empty()) sets_.erase(at);
  return true;
}

bool Zone::removeSet(const std::string& name, Type type) {
  const auto at = sets_.find({name, type});
  if (at == sets_.end()) return false;
  records_ -= at->second.data.size();
  sets_.erase(at);
  return true;
}

std::vector<Record> Zone::all() const {
  std::vector<Record> records;
  records.reserve(records_);
  const auto put = [&](const Key& key, const Set& set) {
    for (const std::string& data : set.data) records.push_back({key.name, key.type, set.ttl, data});
  };
  const auto soa = sets_.find({origin_, Type::SOA});
  if (soa != sets_.end()) put(soa->first, soa->second);
  for (auto at = sets_.begin(); at != sets_.end(); ++at) {
    if (at != soa) put(at->first, at->second);
  }
  return records;
}

bool Zone::sameContent(const Zone& o) const {
  Zone other = o;
  other.setSerial(serial());
  return *this == other;
}

Difference difference(const Zone& from, const Zone& to) {
  Difference d;
  const auto missing = [](const Zone& in, const Zone& of, std::vector<Record>& out) {
    for (const Record& r : in.all()) {
      const Zone::Set* set = of.find(r.name, r.type);
      if (set == nullptr || set->ttl != r.ttl || set->data.count(r.data) == 0) out.push_back(r);
    }
  };
  missing(from, to, d.removed);
  missing(to, from, d.added);
  return d;
}

}  // namespace peargrade::dns_zone
