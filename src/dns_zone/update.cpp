#include "dns_zone/update.h"

#include <algorithm>

namespace peargrade::dns_zone {
namespace {

struct UpdateError {
  Rcode rcode;
  std::string why;
};

std::string describe(const RawRecord& r) {
  const auto type = typeFromNumber(r.type);
  return r.name + " " + (type ? nameOf(*type) : std::to_string(r.type));
}

// Meta types, which no zone contains: query, signature and transfer types (RFC 2136, section 3.4.1.2).
bool isMeta(std::uint16_t type) { return (type >= 128 && type <= 255) || type == 41; }

using ExactSets = std::map<std::pair<std::string, std::uint16_t>, std::set<std::string>>;

// Class ANY: the name or the set must be in use (RFC 2136, sections 3.2.1 and 3.2.2).
void requireInUse(const Zone& zone, const RawRecord& r, bool set) {
  if (!r.data.empty()) throw UpdateError{Rcode::FormErr, "data in a prerequisite of class ANY"};
  if (r.type == kTypeAny && !zone.hasName(r.name))
    throw UpdateError{Rcode::NxDomain, r.name + " is not in use"};
  if (r.type != kTypeAny && !set) throw UpdateError{Rcode::NxRrset, describe(r) + " does not exist"};
}

// Class NONE: the name or the set must not be in use.
void requireNotInUse(const Zone& zone, const RawRecord& r, bool set) {
  if (!r.data.empty()) throw UpdateError{Rcode::FormErr, "data in a prerequisite of class NONE"};
  if (r.type == kTypeAny && zone.hasName(r.name)) throw UpdateError{Rcode::YxDomain, r.name + " is in use"};
  if (r.type != kTypeAny && set) throw UpdateError{Rcode::YxRrset, describe(r) + " exists"};
}

// Section 3.2. Collects in `exact` the RRsets to compare by value: they are complete after the last record.
void checkPrerequisite(const Zone& zone, const RawRecord& r, std::uint16_t zoneClass, ExactSets& exact) {
  if (r.ttl != 0) throw UpdateError{Rcode::FormErr, "a prerequisite with a TTL: " + describe(r)};
  if (!within(r.name, zone.origin()))
    throw UpdateError{Rcode::NotZone, "a prerequisite outside the zone: " + r.name};
  const auto type = typeFromNumber(r.type);
  const bool set = type && zone.find(r.name, *type) != nullptr;
  if (r.cls == kClassAny) return requireInUse(zone, r, set);
  if (r.cls == kClassNone) return requireNotInUse(zone, r, set);
  if (r.cls != zoneClass)
    throw UpdateError{Rcode::FormErr, "a prerequisite of class " + std::to_string(r.cls)};
  const auto data = type ? canonicalData(*type, r.data) : std::nullopt;
  if (!data) throw UpdateError{Rcode::FormErr, "invalid record data: " + describe(r)};
  exact[{r.name, r.type}].insert(*data);
}

void checkPrerequisites(const Zone& zone, const Message& update) {
  ExactSets exact;  // TTLs are not compared (section 3.2.3)
  for (const RawRecord& r : update.answer) checkPrerequisite(zone, r, update.cls, exact);
  for (const auto& [key, data] : exact) {
    const Zone::Set* set = zone.find(key.first, *typeFromNumber(key.second));
    if (set == nullptr || set->data != data)
      throw UpdateError{Rcode::NxRrset, key.first + " " + nameOf(*typeFromNumber(key.second)) +
                                            " differs from the prerequisite"};
  }
}

void checkAddition(const RawRecord& r) {
  if (isMeta(r.type)) throw UpdateError{Rcode::FormErr, "a change of a meta type: " + describe(r)};
  const auto type = typeFromNumber(r.type);
  if (!type) throw UpdateError{Rcode::Refused, "type " + std::to_string(r.type) + " is not supported"};
  if (!canonicalData(*type, r.data)) throw UpdateError{Rcode::FormErr, "invalid record data: " + describe(r)};
  if (r.ttl > 0x7FFFFFFF) throw UpdateError{Rcode::FormErr, "a TTL over 2^31 - 1: " + describe(r)};
}

// Section 3.4.1: all changes are checked before the first is applied.
void checkChanges(const Zone& zone, const Message& update) {
  for (const RawRecord& r : update.authority) {
    if (!within(r.name, zone.origin()))
      throw UpdateError{Rcode::NotZone, "a change outside the zone: " + r.name};
    if (r.cls == update.cls) {
      checkAddition(r);
    } else if (r.cls == kClassAny) {
      if (r.ttl != 0 || !r.data.empty() || (isMeta(r.type) && r.type != kTypeAny))
        throw UpdateError{Rcode::FormErr, "a deletion with a TTL, data or a meta type: " + describe(r)};
    } else if (r.cls == kClassNone) {
      if (r.ttl != 0 || isMeta(r.type))
        throw UpdateError{Rcode::FormErr, "a deletion with a TTL or a meta type: " + describe(r)};
    } else {
      throw UpdateError{Rcode::FormErr, "a change of class " + std::to_string(r.cls)};
    }
  }
}

class Editor {
 public:
  explicit Editor(Zone& zone) : zone_(zone) {}

  void change(const RawRecord& r, std::uint16_t cls) {
    const auto type = typeFromNumber(r.type);
    const bool apex = r.name == zone_.origin();
    if (r.cls == cls) return add({r.name, *type, r.ttl, *canonicalData(*type, r.data)});
    if (r.cls == kClassAny && r.type == kTypeAny) {
      for (const Zone::Key& key : zone_.at(r.name)) {
        if (!apex || (key.type != Type::SOA && key.type != Type::NS)) zone_.removeSet(key.name, key.type);
      }
    } else if (r.cls == kClassAny) {
      if (type && !(apex && (*type == Type::SOA || *type == Type::NS))) zone_.removeSet(r.name, *type);
    } else if (type && *type != Type::SOA) {
      const auto data = canonicalData(*type, r.data);
      const Zone::Set* set = data ? zone_.find(r.name, *type) : nullptr;
      if (set == nullptr || set->data.count(*data) == 0) return;
      if (apex && *type == Type::NS && set->data.size() == 1) return;  // the last NS record is kept
      zone_.remove(r.name, *type, *data);
    }
  }
  // Increments the serial unless the update itself has changed it.
  void raiseSerial(std::uint32_t before) {
    if (zone_.serial() != before) return;
    zone_.setSerial(nextSerial(before));
  }

 private:
  // Section 3.4.2.2: a CNAME excludes other records of its name, and the existing ones are kept. An SOA is
  // applied only if its serial is later.
  void add(const Record& r) {
    if (r.type == Type::SOA) {
      const auto soa = soaOf(r.data);
      if (r.name != zone_.origin() || !soa || !later(soa->serial, zone_.serial())) return;
    }
    const bool alias = zone_.find(r.name, Type::CNAME) != nullptr;
    if (r.type == Type::CNAME) {
      if (zone_.hasName(r.name) && !alias) return;
      if (alias) zone_.removeSet(r.name, Type::CNAME);
    } else if (alias) {
      return;
    }
    zone_.add(r);
  }

  Zone& zone_;
};

// The current contents of all RRsets that the update may change.
std::map<Zone::Key, Zone::Set> affectedSets(const Zone& zone, const Message& update) {
  std::map<Zone::Key, Zone::Set> sets;
  const auto addSet = [&](const Zone::Key& key) {
    const Zone::Set* set = zone.find(key.name, key.type);
    sets[key] = set == nullptr ? Zone::Set{} : *set;
  };
  addSet({zone.origin(), Type::SOA});
  for (const RawRecord& r : update.authority) {
    for (const Zone::Key& key : zone.at(r.name)) addSet(key);
    if (const auto type = typeFromNumber(r.type)) addSet({r.name, *type});
  }
  return sets;
}

Difference differenceFrom(const std::map<Zone::Key, Zone::Set>& before, const Zone& zone) {
  Difference d;
  for (const auto& [key, was] : before) {
    const Zone::Set* set = zone.find(key.name, key.type);
    const Zone::Set is = set == nullptr ? Zone::Set{} : *set;
    for (const std::string& data : was.data) {
      if (is.ttl != was.ttl || is.data.count(data) == 0)
        d.removed.push_back({key.name, key.type, was.ttl, data});
    }
    for (const std::string& data : is.data) {
      if (is.ttl != was.ttl || was.data.count(data) == 0)
        d.added.push_back({key.name, key.type, is.ttl, data});
    }
  }
  return d;
}

}  // namespace

UpdateResult apply(Zone& zone, const Message& update) {
  UpdateResult result;
  try {
    if (!update.hasQuestion || update.type != static_cast<std::uint16_t>(Type::SOA))
      throw UpdateError{Rcode::FormErr, "expected a zone section with type SOA"};
    if (update.name != zone.origin() || update.cls != kIn)
      throw UpdateError{Rcode::NotAuth, "zone " + update.name + " is not served here"};
    checkPrerequisites(zone, update);
    checkChanges(zone, update);
  } catch (const UpdateError& error) {
    result.rcode = error.rcode;
    result.why = error.why;
    return result;
  }
  const auto before = affectedSets(zone, update);
  const std::uint32_t serial = zone.serial();
  Editor editor(zone);
  for (const RawRecord& r : update.authority) editor.change(r, update.cls);
  if (differenceFrom(before, zone).empty()) return result;
  editor.raiseSerial(serial);
  result.change = differenceFrom(before, zone);
  return result;
}

void undo(Zone& zone, const Difference& change) { redo(zone, {change.added, change.removed}); }

void redo(Zone& zone, const Difference& change) {
  for (const Record& r : change.removed) zone.remove(r.name, r.type, r.data);
  for (const Record& r : change.added) zone.add(r);
}

}  // namespace peargrade::dns_zone
