#include "operator/sources_section.h"

#include <arpa/inet.h>

#include <algorithm>
#include <sstream>

namespace peargrade::op {
namespace {

// Parses an IPv4 network such as "10.1.0.0/16". False if it is invalid.
bool parseNetwork(const std::string& text, Place& place) {
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

dns::Settings readDnsSettings(const Section& section) {
  dns::Settings settings;
  for (const FieldValue& value : section.fields.at("server")) {
    if (const auto address = net::Address::parse(value.text)) settings.servers.push_back(*address);
  }
  settings.tryFor = section.micros("try");
  settings.tryMost = section.micros("try-longest");
  settings.tries = static_cast<int>(section.whole("tries"));
  settings.tcpFor = section.micros("tcp");
  settings.lookupFor = section.micros("lookup");
  settings.ttlLeast = section.micros("ttl-floor");
  settings.ttlMost = section.micros("ttl-ceiling");
  settings.negativeMost = section.micros("negative-ceiling");
  settings.staleFor = section.micros("stale");
  settings.failureHold = section.micros("failure-hold");
  settings.refreshAt = section.one("refresh").number;
  settings.spread = section.one("spread").number;
  settings.cacheEntries = static_cast<std::size_t>(section.whole("cache-entries"));
  settings.cacheBytes = static_cast<std::size_t>(section.whole("cache-bytes"));
  settings.records = static_cast<std::size_t>(section.whole("records"));
  settings.chain = static_cast<int>(section.whole("chain"));
  settings.payload = static_cast<int>(section.whole("udp-payload"));
  settings.inFlight = static_cast<int>(section.whole("in-flight"));
  return settings;
}

membership::Settings readMergeSettings(const Section& section) {
  membership::Settings settings;
  settings.staleRetention = section.micros("stale");
  settings.removalStepShare = section.one("step-share").number;
  settings.removalStepInterval = section.micros("step-every");
  settings.confirmationShare = section.one("confirm-share").number;
  settings.confirmationTimeout = section.micros("confirm-within");
  settings.tierJoinShare = section.one("tier-least").number;
  settings.tierLeaveShare = section.one("tier-back").number;
  settings.weightTolerance = section.one("weight-margin").number;
  settings.flapWindow = section.micros("flap-span");
  settings.flapReturnsMax = static_cast<int>(section.whole("flap-turns"));
  settings.flapHoldTime = section.micros("flap-hold");
  settings.rosterStartupTimeout = section.micros("roster-first");
  settings.minimumReady = static_cast<std::size_t>(section.whole("keep-least"));
  settings.serversMax = static_cast<std::size_t>(section.whole("servers"));
  const bool byRoster = section.one("weights").text == "roster";
  settings.weightSource = byRoster ? membership::WeightSource::Roster : membership::WeightSource::Records;
  settings.firstResponseIsWarm = section.one("first-answer-warm").yes;
  return settings;
}

// Whether `name` is a domain name of letters, digits, - and _ within the limits of RFC 1035.
bool isDomainName(const std::string& name) {
  if (name.size() > 253) return false;
  std::size_t label = 0;
  for (const char c : name) {
    const bool valid = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    if (!valid) return false;
    label = c == '.' ? 0 : label + 1;
    if (label > 63) return false;
  }
  return !name.empty() && name[0] != '.' && name.find("..") == std::string::npos;
}

// A domain name in lower case, without the final dot.
std::string normalizeDomainName(std::string name) {
  for (char& c : name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  if (!name.empty() && name.back() == '.') name.pop_back();
  return name;
}

// The text of a field, or "" if it has no value.
std::string optionalText(const Section& section, const char* field) {
  return section.has(field) ? section.one(field).text : std::string();
}

// Whether `name` is `origin` or a name below it.
bool isWithin(const std::string& name, const std::string& origin) {
  return name == origin ||
         (name.size() > origin.size() &&
          name.compare(name.size() - origin.size() - 1, std::string::npos, "." + origin) == 0);
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

Operator SourcesReader::read(const Section& sources) {
  Operator settings;
  settings.roster = sources.one("roster").yes;
  settings.dns = readDnsSettings(sources.block("dns"));
  settings.merge = readMergeSettings(sources.block("merge"));
  for (const Section& section : sources.blocks.at("srv"))
    settings.srv.push_back(readSrv(section, settings.srv));
  for (const Section& section : sources.blocks.at("zone"))
    settings.zones.push_back(readZone(section, settings.zones));
  checkConsistency(sources, settings);
  return settings;
}

void SourcesReader::addError(kdl::Place at, const std::string& where, const std::string& found,
                             const std::string& expected) {
  errors_.push_back({at, where, found, expected});
}

// Checks that involve several blocks.
void SourcesReader::checkConsistency(const Section& sources, const Operator& settings) {
  if (!settings.srv.empty() && !sources.block("dns").has("server"))
    addError(sources.place, "sources.dns.server", "none",
             "at least one name server, because there is an srv source");
  if (!settings.sources() && !settings.roster)
    addError(sources.one("roster").place, "sources.roster", "false, and no other source",
             "at least one source");
  if (settings.merge.tierLeaveShare < settings.merge.tierJoinShare)
    addError(sources.block("merge").place, "sources.merge.tier-back", "less than tier-least",
             "at least tier-least, so that tiers do not alternate between joining and leaving");
  if (settings.dns.ttlMost < settings.dns.ttlLeast)
    addError(sources.block("dns").place, "sources.dns.ttl-ceiling", "less than ttl-floor",
             "at least ttl-floor");
}

void SourcesReader::checkKnown(const Section& place, const std::string& where, const char* field,
                               const std::string& name, const std::vector<std::string>& known) {
  if (name.empty() || discovery::indexOf(known, name) >= 0) return;
  std::string list;
  for (const std::string& candidate : known) list += (list.empty() ? "" : ", ") + candidate;
  addError(place.one(field).place, where + ".place." + field, quoted(name),
           "one of the names in the configuration: " + list);
}

std::vector<Place> SourcesReader::readPlaces(const Section& section, const std::string& where) {
  std::vector<Place> places;
  for (const Section& placeSection : section.blocks.at("place")) {
    Place place;
    const FieldValue& network = placeSection.one("net");
    if (!parseNetwork(network.text, place))
      addError(network.place, where + ".place.net", quoted(network.text),
               "a network such as \"10.1.0.0/16\"");
    place.zone = optionalText(placeSection, "zone");
    place.kind = optionalText(placeSection, "kind");
    place.podGroup = static_cast<int>(placeSection.whole("pod-group"));
    if (names_ != nullptr) {
      checkKnown(placeSection, where, "zone", place.zone, names_->zones);
      checkKnown(placeSection, where, "kind", place.kind, names_->kinds);
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
      addError(section.place, where, "the label " + quoted(label) + " again", "a unique label");
  }
}

Srv SourcesReader::readSrv(const Section& section, const std::vector<Srv>& before) {
  Srv srv;
  srv.label = optionalText(section, "label");
  if (section.has("name")) {
    srv.name = section.one("name").text;
    if (!isDomainName(srv.name))
      addError(section.one("name").place, "sources.srv.name", quoted(srv.name),
               "a domain name such as \"_orders._tcp.example.org\"");
  }
  checkLabel(section, "sources.srv", srv.label, before);
  srv.places = readPlaces(section, "sources.srv");
  if (srv.places.empty())
    addError(section.place, "sources.srv.place", "none", "at least one, such as place zone=\"east\"");
  return srv;
}

std::string SourcesReader::readZoneName(const char* field, const FieldValue& value) {
  if (!isDomainName(value.text))
    addError(value.place, std::string("sources.zone.") + field, quoted(value.text),
             "a domain name such as \"example.org\"");
  return normalizeDomainName(value.text);
}

void SourcesReader::readServices(const Section& section, Zone& zone) {
  for (const FieldValue& value : section.fields.at("service")) {
    zone.services.push_back(readZoneName("service", value));
    if (!zone.origin.empty() && !isWithin(zone.services.back(), zone.origin))
      addError(value.place, "sources.zone.service", quoted(value.text), "a name within " + zone.origin);
  }
}

Grant SourcesReader::readGrant(const Section& section) {
  static const char* const knownTypes[] = {"A", "AAAA", "CNAME", "NS", "SRV", "TXT"};
  Grant grant;
  grant.key = normalizeDomainName(optionalText(section, "key"));
  grant.name = normalizeDomainName(optionalText(section, "name"));
  std::istringstream words(optionalText(section, "types"));
  for (std::string word; words >> word;) {
    if (std::find(std::begin(knownTypes), std::end(knownTypes), word) == std::end(knownTypes))
      addError(section.one("types").place, "sources.zone.grant.types", "'" + word + "'",
               "some of: A AAAA CNAME NS SRV TXT");
    grant.types.push_back(word);
  }
  return grant;
}

Zone SourcesReader::readZone(const Section& section, const std::vector<Zone>& before) {
  Zone zone;
  zone.label = optionalText(section, "label");
  if (section.has("origin")) zone.origin = readZoneName("origin", section.one("origin"));
  readServices(section, zone);
  zone.places = readPlaces(section, "sources.zone");
  zone.authority = section.one("authority").yes;
  zone.folder = optionalText(section, "folder");
  zone.file = optionalText(section, "file");
  zone.watchEvery = section.micros("watch-every");
  zone.state = optionalText(section, "state");
  zone.keys = optionalText(section, "keys");
  if (section.has("listen")) zone.listen = net::Address::parse(section.one("listen").text);
  zone.remembered = static_cast<std::size_t>(section.whole("remembered"));
  zone.pending = static_cast<std::size_t>(section.whole("pending"));
  zone.connections = static_cast<std::size_t>(section.whole("connections"));
  for (const Section& grantSection : section.blocks.at("grant"))
    zone.grants.push_back(readGrant(grantSection));
  for (const FieldValue& value : section.fields.at("primary")) {
    if (const auto address = net::Address::parse(value.text)) zone.primaries.push_back(*address);
  }
  checkZone(section, zone);
  checkLabel(section, "sources.zone", zone.label, before);
  return zone;
}

// Checks that involve several fields of a zone.
void SourcesReader::checkZone(const Section& section, const Zone& zone) {
  if (!zone.label.empty() &&
      zone.label.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") != std::string::npos)
    addError(section.one("label").place, "sources.zone.label", quoted(zone.label),
             "lower-case letters, digits and -, because it is part of file names");
  const bool follows = !section.fields.at("primary").empty();
  if (follows && (!zone.file.empty() || !zone.keys.empty() || !zone.grants.empty()))
    addError(section.place, "sources.zone.primary", "a primary together with a file, keys or grants",
             "either a primary or a file and updates, not both");
  if (zone.file.empty() != zone.folder.empty())
    addError(section.place, "sources.zone.file", "only one of file and folder", "both or neither");
  if (zone.file.empty() && !zone.listen && !follows)
    addError(section.place, "sources.zone", "neither file nor listen nor primary",
             "at least one of them as the source of the zone");
  if (zone.listen && !follows && (zone.state.empty() || zone.keys.empty() || zone.grants.empty()))
    addError(section.place, "sources.zone.listen", "listen without state, keys or a grant",
             "all three, because accepted updates are stored and must be signed by a key with a grant");
}

}  // namespace peargrade::op
