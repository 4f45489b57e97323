#include "operator/sources_section.h"

#include <arpa/inet.h>

#include <algorithm>
#include <sstream>

namespace peargrade::op {
namespace {

bool readNet(const std::string& text, Place& place) {
  const auto slash = text.find('/');
  in_addr address{};
  if (slash == std::string::npos || inet_pton(AF_INET, text.substr(0, slash).c_str(), &address) != 1)
    return false;
  const std::string bits = text.substr(slash + 1);
  if (bits.empty() || bits.size() > 2 || bits.find_first_not_of("0123456789") != std::string::npos)
    return false;
  const int length = std::stoi(bits);
  if (length > 32) return false;
  place.mask = length == 0 ? 0 : ~std::uint32_t{0} << (32 - length);
  place.net = ntohl(address.s_addr) & place.mask;
  return true;
}

dns::Settings dnsOf(const Section& s) {
  dns::Settings d;
  for (const Read& r : s.fields.at("server")) {
    if (const auto address = net::Address::parse(r.text)) d.servers.push_back(*address);
  }
  d.tryFor = s.micros("try");
  d.tryMost = s.micros("try-longest");
  d.tries = static_cast<int>(s.whole("tries"));
  d.tcpFor = s.micros("tcp");
  d.lookupFor = s.micros("lookup");
  d.ttlLeast = s.micros("ttl-floor");
  d.ttlMost = s.micros("ttl-ceiling");
  d.negativeMost = s.micros("negative-ceiling");
  d.staleFor = s.micros("stale");
  d.failureHold = s.micros("failure-hold");
  d.refreshAt = s.one("refresh").number;
  d.spread = s.one("spread").number;
  d.cacheEntries = static_cast<std::size_t>(s.whole("cache-entries"));
  d.cacheBytes = static_cast<std::size_t>(s.whole("cache-bytes"));
  d.records = static_cast<std::size_t>(s.whole("records"));
  d.chain = static_cast<int>(s.whole("chain"));
  d.payload = static_cast<int>(s.whole("udp-payload"));
  d.inFlight = static_cast<int>(s.whole("in-flight"));
  return d;
}

membership::Settings mergeOf(const Section& s) {
  membership::Settings m;
  m.staleRetention = s.micros("stale");
  m.removalStepShare = s.one("step-share").number;
  m.removalStepInterval = s.micros("step-every");
  m.confirmationShare = s.one("confirm-share").number;
  m.confirmationTimeout = s.micros("confirm-within");
  m.tierJoinShare = s.one("tier-least").number;
  m.tierLeaveShare = s.one("tier-back").number;
  m.weightTolerance = s.one("weight-margin").number;
  m.flapWindow = s.micros("flap-span");
  m.flapReturnsMax = static_cast<int>(s.whole("flap-turns"));
  m.flapHoldTime = s.micros("flap-hold");
  m.rosterStartupTimeout = s.micros("roster-first");
  m.minimumReady = static_cast<std::size_t>(s.whole("keep-least"));
  m.serversMax = static_cast<std::size_t>(s.whole("servers"));
  const bool byRoster = s.one("weights").text == "roster";
  m.weightSource = byRoster ? membership::WeightSource::Roster : membership::WeightSource::Records;
  m.firstResponseIsWarm = s.one("first-answer-warm").yes;
  return m;
}

bool isName(const std::string& name) {
  if (name.size() > 253) return false;
  std::size_t label = 0;
  for (const char c : name) {
    const bool good = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    if (!good) return false;
    label = c == '.' ? 0 : label + 1;
    if (label > 63) return false;
  }
  return !name.empty() && name[0] != '.' && name.find("..") == std::string::npos;
}

std::string lowered(std::string name) {
  for (char& c : name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  if (!name.empty() && name.back() == '.') name.pop_back();
  return name;
}

// A text, or "" where the file has none.
std::string textOf(const Section& section, const char* field) {
  return section.has(field) ? section.one(field).text : std::string();
}

bool isWithin(const std::string& name, const std::string& origin) {
  return name == origin ||
         (name.size() > origin.size() &&
          name.compare(name.size() - origin.size() - 1, std::string::npos, "." + origin) == 0);
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

Operator SourcesReader::read(const Section& sources) {
  Operator o;
  o.roster = sources.one("roster").yes;
  o.dns = dnsOf(sources.block("dns"));
  o.merge = mergeOf(sources.block("merge"));
  for (const Section& section : sources.blocks.at("srv")) o.srv.push_back(srv(section, o.srv));
  for (const Section& section : sources.blocks.at("zone")) o.zones.push_back(zone(section, o.zones));
  checkConsistency(sources, o);
  return o;
}

void SourcesReader::complain(kdl::Place at, const std::string& where, const std::string& found,
                             const std::string& expected) {
  complaints_.push_back({at, where, found, expected});
}

// What takes more than one block to see.
void SourcesReader::checkConsistency(const Section& sources, const Operator& o) {
  if (!o.srv.empty() && !sources.block("dns").has("server"))
    complain(sources.place, "sources.dns.server", "none", "at least one, since there is an srv source");
  if (!o.sources() && !o.roster)
    complain(sources.one("roster").place, "sources.roster", "false and no other", "at least one source");
  if (o.merge.tierLeaveShare < o.merge.tierJoinShare)
    complain(sources.block("merge").place, "sources.merge.tier-back", "less than tier-least",
             "at least tier-least, or tiers would join and leave by turns");
  if (o.dns.ttlMost < o.dns.ttlLeast)
    complain(sources.block("dns").place, "sources.dns.ttl-ceiling", "less than ttl-floor",
             "at least ttl-floor");
}

void SourcesReader::checkKnown(const Section& place, const std::string& where, const char* field,
                               const std::string& name, const std::vector<std::string>& known) {
  if (name.empty() || discovery::indexOf(known, name) >= 0) return;
  std::string list;
  for (const std::string& n : known) list += (list.empty() ? "" : ", ") + n;
  complain(place.one(field).place, where + ".place." + field, quoted(name),
           "one of the configuration's: " + list);
}

std::vector<Place> SourcesReader::places(const Section& section, const std::string& where) {
  std::vector<Place> places;
  for (const Section& p : section.blocks.at("place")) {
    Place place;
    const Read& net = p.one("net");
    if (!readNet(net.text, place))
      complain(net.place, where + ".place.net", quoted(net.text), "a net such as \"10.1.0.0/16\"");
    place.zone = textOf(p, "zone");
    place.kind = textOf(p, "kind");
    place.podGroup = static_cast<int>(p.whole("pod-group"));
    if (names_ != nullptr) {
      checkKnown(p, where, "zone", place.zone, names_->zones);
      checkKnown(p, where, "kind", place.kind, names_->kinds);
    }
    places.push_back(place);
  }
  return places;
}

template <class Labelled>
void SourcesReader::checkLabel(const Section& section, const char* where, const std::string& label,
                               const std::vector<Labelled>& before) {
  for (const Labelled& other : before) {
    if (other.label == label)
      complain(section.place, where, quoted(label) + " a second time", "a label of its own");
  }
}

Srv SourcesReader::srv(const Section& section, const std::vector<Srv>& before) {
  Srv srv;
  srv.label = textOf(section, "label");
  if (section.has("name")) {
    srv.name = section.one("name").text;
    if (!isName(srv.name))
      complain(section.one("name").place, "sources.srv.name", quoted(srv.name),
               "a domain name such as \"_orders._tcp.example.org\"");
  }
  checkLabel(section, "sources.srv", srv.label, before);
  srv.places = places(section, "sources.srv");
  if (srv.places.empty())
    complain(section.place, "sources.srv.place", "none", "at least one, such as place zone=\"east\"");
  return srv;
}

std::string SourcesReader::zoneName(const char* field, const Read& read) {
  if (!isName(read.text))
    complain(read.place, std::string("sources.zone.") + field, quoted(read.text),
             "a domain name such as \"example.org\"");
  return lowered(read.text);
}

void SourcesReader::services(const Section& section, Zone& zone) {
  for (const Read& read : section.fields.at("service")) {
    zone.services.push_back(zoneName("service", read));
    if (!zone.origin.empty() && !isWithin(zone.services.back(), zone.origin))
      complain(read.place, "sources.zone.service", quoted(read.text), "a name within " + zone.origin);
  }
}

Grant SourcesReader::grant(const Section& section) {
  static const char* const known[] = {"A", "AAAA", "CNAME", "NS", "SRV", "TXT"};
  Grant grant;
  grant.key = lowered(textOf(section, "key"));
  grant.name = lowered(textOf(section, "name"));
  std::istringstream words(textOf(section, "types"));
  for (std::string word; words >> word;) {
    if (std::find(std::begin(known), std::end(known), word) == std::end(known))
      complain(section.one("types").place, "sources.zone.grant.types", "'" + word + "'",
               "some of: A AAAA CNAME NS SRV TXT");
    grant.types.push_back(word);
  }
  return grant;
}

Zone SourcesReader::zone(const Section& section, const std::vector<Zone>& before) {
  Zone zone;
  zone.label = textOf(section, "label");
  if (section.has("origin")) zone.origin = zoneName("origin", section.one("origin"));
  services(section, zone);
  zone.places = places(section, "sources.zone");
  zone.authority = section.one("authority").yes;
  zone.folder = textOf(section, "folder");
  zone.file = textOf(section, "file");
  zone.watchEvery = section.micros("watch-every");
  zone.state = textOf(section, "state");
  zone.keys = textOf(section, "keys");
  if (section.has("listen")) zone.listen = net::Address::parse(section.one("listen").text);
  zone.remembered = static_cast<std::size_t>(section.whole("remembered"));
  zone.pending = static_cast<std::size_t>(section.whole("pending"));
  zone.connections = static_cast<std::size_t>(section.whole("connections"));
  for (const Section& g : section.blocks.at("grant")) zone.grants.push_back(grant(g));
  for (const Read& read : section.fields.at("primary")) {
    if (const auto address = net::Address::parse(read.text)) zone.primaries.push_back(*address);
  }
  checkZone(section, zone);
  checkLabel(section, "sources.zone", zone.label, before);
  return zone;
}

// What takes more than one field of a zone to see.
void SourcesReader::checkZone(const Section& section, const Zone& zone) {
  if (!zone.label.empty() &&
      zone.label.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") != std::string::npos)
    complain(section.one("label").place, "sources.zone.label", quoted(zone.label),
             "small letters, digits and -: it names files");
  const bool follows = !section.fields.at("primary").empty();
  if (follows && (!zone.file.empty() || !zone.keys.empty() || !zone.grants.empty()))
    complain(section.place, "sources.zone.primary", "a primary beside a file, keys or grants",
             "one place where the zone is changed");
  if (zone.file.empty() != zone.folder.empty())
    complain(section.place, "sources.zone.file", "only one of file and folder", "both or neither");
  if (zone.file.empty() && !zone.listen && !follows)
    complain(section.place, "sources.zone", "neither file nor listen nor primary",
             "one of them: the zone has to come from somewhere");
  if (zone.listen && !follows && (zone.state.empty() || zone.keys.empty() || zone.grants.empty()))
    complain(section.place, "sources.zone.listen", "updates without state, keys or a grant",
             "all three: what is accepted is kept, and signed by who may");
}

}  // namespace peargrade::op
