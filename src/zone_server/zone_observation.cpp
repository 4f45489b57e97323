#include "zone_server/zone_observation.h"

#include <algorithm>

namespace peargrade::zone_server {
namespace {

struct Attributes {
  EndpointState state = EndpointState::Ready;
  Micros startedAt = 0;
  // Indexes; -1 if not given.
  int zone = -1;
  int kind = -1;
  int cell = -1;
};

bool readNumber(const std::string& text, std::int64_t limit, std::int64_t& value) {
  if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string::npos)
    return false;
  value = std::stoll(text);
  return value <= limit;
}

/// Parses an attribute into `a`. Returns false if the text is not a valid attribute.
bool parseAttribute(const std::string& text, const discovery::Names& names, Attributes& a) {
  const auto equals = text.find('=');
  if (equals == std::string::npos) return false;
  const std::string key = text.substr(0, equals), value = text.substr(equals + 1);
  std::int64_t number = 0;
  if (key == "state") {
    a.state = value == "draining" ? EndpointState::Draining : EndpointState::Ready;
    return value == "draining" || value == "ready";
  }
  if (key == "zone") return (a.zone = discovery::indexOf(names.zones, value)) >= 0;
  if (key == "kind") return (a.kind = discovery::indexOf(names.kinds, value)) >= 0;
  if (key == "pod-group" && readNumber(value, 1000000000, number)) {
    a.cell = static_cast<int>(number);
    return true;
  }
  if (key == "started" && readNumber(value, INT64_MAX / 1000, number)) {
    a.startedAt = number * 1000;
    return true;
  }
  return false;
}

std::string formatUnknownAttribute(const std::string& host, const std::string& text) {
  std::string note = host;
  return note.append(": TXT \"").append(text).append("\" is not a known attribute");
}

Attributes readAttributes(const dns_zone::Zone& zone, const std::string& host, const discovery::Names& names,
                          std::vector<std::string>& notes) {
  Attributes a;
  const dns_zone::Zone::Set* set = zone.find(host, dns_zone::Type::TXT);
  if (set == nullptr) return a;
  bool draining = false;
  for (const std::string& data : set->data) {
    for (const std::string& text : dns_zone::textsOf(data)) {
      if (!parseAttribute(text, names, a)) notes.push_back(formatUnknownAttribute(host, text));
      // Draining takes precedence if several strings give a state.
      draining = draining || a.state == EndpointState::Draining;
    }
  }
  if (draining) a.state = EndpointState::Draining;
  return a;
}

/// Follows the CNAME records of the zone; empty after eight CNAME records or if a target is invalid.
std::string resolveAlias(const dns_zone::Zone& zone, std::string host) {
  for (int hops = 0; hops < 8; ++hops) {
    const dns_zone::Zone::Set* alias = zone.find(host, dns_zone::Type::CNAME);
    if (alias == nullptr) return host;
    std::size_t at = 0;
    host = dns_zone::readName(*alias->data.begin(), at).value_or("");
  }
  return "";
}

/// Collects the servers of a zone.
struct ServerCollector {
  const dns_zone::Zone& zone;
  const locality::LocalityMap& places;
  const discovery::Names& names;
  const Micros until;
  const std::set<std::string>& drained;
  ZoneObservation& offer;

  void addTarget(const dns_zone::Srv& srv) {
    const std::string host = resolveAlias(zone, srv.target);
    Attributes attributes = readAttributes(zone, host, names, offer.notes);
    if (drained.count(host) != 0) attributes.state = EndpointState::Draining;
    bool hasAddress = false;
    for (const dns_zone::Type type : {dns_zone::Type::A, dns_zone::Type::AAAA}) {
      const dns_zone::Zone::Set* addresses = zone.find(host, type);
      if (addresses == nullptr) continue;
      for (const std::string& bytes : addresses->data) {
        hasAddress = true;
        addServer(srv, attributes, dns_zone::addressOf(type, bytes));
      }
    }
    if (hasAddress) return;
    // The address of the target may be in another zone, so its servers must not count as removed.
    offer.observation.unresolvedTargets.insert(srv.target);
    offer.notes.push_back(srv.target + ": the target has no address record in the zone");
  }

  void addServer(const dns_zone::Srv& srv, const Attributes& attributes, const std::string& address) {
    membership::ServiceRecord s;
    s.address = address + ":" + std::to_string(srv.port);
    s.target = srv.target;
    s.priority = srv.priority;
    s.weight = srv.weight;
    s.expiresAt = until;
    s.state = attributes.state;
    s.startedAt = attributes.startedAt;
    if (!places.locate(address, s) && attributes.zone < 0) {
      offer.notes.push_back(s.address +
                            ": no configured place contains the address, and no TXT record gives its zone");
      return;
    }
    if (attributes.zone >= 0) s.zone = attributes.zone;
    if (attributes.kind >= 0) s.kind = attributes.kind;
    if (attributes.cell >= 0) s.cell = attributes.cell;
    offer.endpoints.insert(s.address);
    offer.observation.records.push_back(std::move(s));
  }
};

}  // namespace

void addTargets(const dns_zone::Difference& change, Micros at, std::map<std::string, Micros>& targets) {
  for (const dns_zone::Record& r : change.added) {
    if (r.type == dns_zone::Type::A || r.type == dns_zone::Type::AAAA) targets[r.name] = at;
    if (r.type != dns_zone::Type::SRV) continue;
    if (const auto srv = dns_zone::srvOf(r.data)) targets[srv->target] = at;
  }
}

void addDrained(const dns_zone::Difference& change, std::set<std::string>& hosts) {
  for (const dns_zone::Record& r : change.added) {
    if (r.type != dns_zone::Type::TXT) continue;
    for (const std::string& text : dns_zone::textsOf(r.data)) {
      if (text == "state=draining") hosts.insert(r.name);
    }
  }
}

ZoneObservation observeZone(const dns_zone::Zone& zone, const std::vector<std::string>& services,
                            const locality::LocalityMap& places, const discovery::Names& names,
                            std::size_t source, Micros asOf, Micros until,
                            const std::set<std::string>& drained) {
  ZoneObservation offer;
  offer.observation.kind = membership::Observation::Kind::Complete;
  offer.observation.source = source;
  offer.observation.asOf = asOf;
  ServerCollector collector{zone, places, names, until, drained, offer};
  for (const std::string& service : services) {
    const dns_zone::Zone::Set* set = zone.find(service, dns_zone::Type::SRV);
    if (set == nullptr) continue;
    for (const std::string& data : set->data) {
      const auto srv = dns_zone::srvOf(data);
      if (srv && !srv->target.empty()) collector.addTarget(*srv);
    }
  }
  return offer;
}

}  // namespace peargrade::zone_server
