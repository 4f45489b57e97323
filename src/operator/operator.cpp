#include "operator/operator.h"

#include <arpa/inet.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "kdl/kdl.h"

namespace peargrade::op {
namespace {

constexpr double kMs = 1e3, kSecond = 1e6, kMinute = 60e6, kHour = 3600e6, kDay = 86400e6;

Field duration(const char* name, double least, double most, const char* standard, const char* says) {
  return {name, Kind::Duration, least, most, standard, Form::Node, false, false, {}, says};
}
Field count(const char* name, double least, double most, const char* standard, const char* says) {
  return {name, Kind::Count, least, most, standard, Form::Node, false, false, {}, says};
}
Field share(const char* name, double least, double most, const char* standard, const char* says) {
  return {name, Kind::Share, least, most, standard, Form::Node, false, false, {}, says};
}
Field flag(const char* name, const char* standard, const char* says) {
  return {name, Kind::Flag, 0, 0, standard, Form::Node, false, false, {}, says};
}

Block dnsBlock() {
  return {
      "dns",
      false,
      {{"server", Kind::Address, 0, 0, "", Form::Node, false, true, {}, "a name server; numbers only"},
       duration("try", 10 * kMs, 10 * kSecond, "400ms", "first wait for an answer over UDP, doubled a try"),
       duration("try-longest", 10 * kMs, 30 * kSecond, "2s", "no wait over UDP is longer"),
       count("tries", 1, 16, "4", "of one question, over all servers"),
       duration("tcp", 50 * kMs, 30 * kSecond, "2s", "a whole exchange over TCP"),
       duration("lookup", 100 * kMs, kMinute, "6s", "a whole lookup with its chain and addresses"),
       duration("ttl-floor", 0.1 * kSecond, kHour, "1s", "no lifetime is shorter; TTL 0 counts as this"),
       duration("ttl-ceiling", kSecond, 7 * kDay, "1h", "no lifetime is longer"),
       duration("negative-ceiling", kSecond, 3 * kHour, "1m", "of \"there is none\""),
       duration("stale", 0, 7 * kDay, "1h", "an answer may serve so long past its end"),
       duration("failure-hold", 0.1 * kSecond, 5 * kMinute, "1s",
                "a failed question is not asked again sooner"),
       share("refresh", 0.1, 0.95, "0.8", "share of the lifetime after which it is asked again"),
       share("spread", 0, 0.5, "0.1", "asked earlier by up to this share of the lifetime"),
       count("cache-entries", 16, 1e6, "20000", "questions with what is known of them"),
       {"cache-bytes", Kind::Size, 65536, 1073741824, "8MiB", Form::Node, false, false, {}, "all entries"},
       count("records", 1, 65536, "4096", "of one answer; more is no answer"),
       count("chain", 0, 32, "8", "CNAMEs one after another"),
       count("udp-payload", 512, 4096, "1232", "buffer size told in EDNS(0)"),
       count("in-flight", 1, 1024, "64", "questions asked at one time")},
      {},
      "the resolver"};
}

Block mergeBlock() {
  return {"merge",
          false,
          {duration("stale", 0, 7 * kDay, "60s", "a server that DNS alone knew is kept so long past its end"),
           share("step-share", 0.001, 1, "0.1", "of the pool that may go in one step"),
           duration("step-every", 0.1 * kSecond, kHour, "5s", "one step in so long"),
           share("confirm-share", 0, 1, "0.3", "an answer that takes more of the pool waits for a second"),
           duration("confirm-within", kSecond, kHour, "30s", "or this long, and then goes in steps"),
           share("tier-least", 0, 1, "0.5", "a lower tier joins when less of the upper is there"),
           share("tier-back", 0, 1, "0.7", "and leaves when this much is back"),
           share("weight-margin", 0, 1, "0.1", "a weight that changes by no more is no news"),
           duration("flap-span", kSecond, kHour, "60s", "the span in which returns of a server are counted"),
           count("flap-turns", 1, 100, "2", "more returns than these in the span are held"),
           duration("flap-hold", kSecond, kHour, "60s", "for so long; a drain is never held"),
           duration("roster-first", 0, kMinute, "3s", "after the start the roster is waited for so long"),
           count("keep-least", 1, 1000, "1", "servers that DNS alone never takes away"),
           count("servers", 1, 1e6, "50000", "held in all; more are left out"),
           {"weights",
            Kind::Word,
            0,
            0,
            "roster",
            Form::Node,
            false,
            false,
            {"roster", "srv"},
            "whose weight goes first"},
           flag("first-answer-warm", "false", "what the first complete answer lists has run for long")},
          {},
          "how several sources become one list"};
}

Block srvBlock() {
  Block place{"place",
              true,
              {{"net", Kind::Text, 0, 0, "0.0.0.0/0", Form::Property, false, false, {}, "\"10.1.0.0/16\""},
               {"zone", Kind::Text, 0, 0, "", Form::Property, true, false, {}, "a zone of the settings"},
               {"kind", Kind::Text, 0, 0, "", Form::Property, false, false, {}, "a kind of the settings"},
               {"pod-group", Kind::Count, 0, 1e9, "0", Form::Property, false, false, {}, ""}},
              {},
              "where servers of a net stand"};
  return {"srv",
          true,
          {{"label", Kind::Text, 0, 0, "", Form::Argument, true, false, {}, "names it in logs"},
           {"name", Kind::Text, 0, 0, "", Form::Node, true, false, {}, "\"_orders._tcp.example.org\""}},
          {place},
          "SRV records as a source"};
}

Block zoneBlock() {
  Block place = srvBlock().blocks[0];
  Block grant{
      "grant",
      true,
      {{"key", Kind::Text, 0, 0, "", Form::Property, true, false, {}, "name of a key of the file of keys"},
       {"name",
        Kind::Text,
        0,
        0,
        "",
        Form::Property,
        true,
        false,
        {},
        "\"a.example.org\", or \"*.example.org\""},
       {"types", Kind::Text, 0, 0, "", Form::Property, false, false, {}, "\"SRV A TXT\"; left out: all"}},
      {},
      "which key may change which names and types"};
  return {
      "zone",
      true,
      {{"label", Kind::Text, 0, 0, "", Form::Argument, true, false, {}, "names it in logs and files"},
       {"origin", Kind::Text, 0, 0, "", Form::Node, true, false, {}, "\"example.org\""},
       {"service", Kind::Text, 0, 0, "", Form::Node, true, true, {}, "\"_orders._tcp.example.org\""},
       flag("authority", "true", "its drains and what it takes out go before other sources"),
       {"folder",
        Kind::Text,
        0,
        0,
        "",
        Form::Node,
        false,
        false,
        {},
        "that zone files and includes are kept within"},
       {"file", Kind::Text, 0, 0, "", Form::Node, false, false, {}, "the zone file, in that folder"},
       duration("watch-every", 50 * kMs, kHour, "1s", "the file is looked at so often"),
       {"primary", Kind::Address, 0, 0, "", Form::Node, false, true, {}, "the zone is followed from there"},
       {"state",
        Kind::Text,
        0,
        0,
        "",
        Form::Node,
        false,
        false,
        {},
        "a folder that lasts, for accepted updates"},
       {"listen",
        Kind::Address,
        0,
        0,
        "",
        Form::Node,
        false,
        false,
        {},
        "where updates and notices are taken, UDP and TCP"},
       {"keys", Kind::Text, 0, 0, "", Form::Node, false, false, {}, "file of keys, closed to others"},
       count("remembered", 16, 1e6, "100000", "updates that may be sent again and get their first answer"),
       count("pending", 1, 65536, "4096", "updates on their way to the disk"),
       count("connections", 1, 1024, "64", "over TCP")},
      {place, grant},
      "a zone that this installation keeps itself"};
}

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
  m.staleFor = s.micros("stale");
  m.stepShare = s.one("step-share").number;
  m.stepEvery = s.micros("step-every");
  m.confirmShare = s.one("confirm-share").number;
  m.confirmWithin = s.micros("confirm-within");
  m.tierLeast = s.one("tier-least").number;
  m.tierBack = s.one("tier-back").number;
  m.weightMargin = s.one("weight-margin").number;
  m.flapSpan = s.micros("flap-span");
  m.flapTurns = static_cast<int>(s.whole("flap-turns"));
  m.flapHold = s.micros("flap-hold");
  m.rosterFirst = s.micros("roster-first");
  m.keepLeast = static_cast<std::size_t>(s.whole("keep-least"));
  m.serversMost = static_cast<std::size_t>(s.whole("servers"));
  m.rosterWeights = s.one("weights").text == "roster";
  m.firstAnswerWarm = s.one("first-answer-warm").yes;
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

}  // namespace

const Block& schema() {
  static const Block file{
      "",
      false,
      {{"version", Kind::Count, 1, 1, "", Form::Node, true, false, {}, "of this form; 1"}},
      {{"sources",
        false,
        {flag("roster", "true", "discovery over HTTP is one of the sources")},
        {dnsBlock(), srvBlock(), zoneBlock(), mergeBlock()},
        "where the list of servers comes from"},
       {"configuration",
        false,
        {flag("settings-reload", "false", "SIGHUP takes `settings` over, checked as a whole")},
        {},
        "the platform's configuration in a running supervisor"}},
      "the operator's file"};
  return file;
}

Operator parse(const std::string& text, const std::string& file, const discovery::Names* names) {
  std::vector<Complaint> complaints;
  const Section top = check(schema(), kdl::parse(text), complaints);
  const Section& sources = top.block("sources");
  Operator o;
  o.roster = sources.one("roster").yes;
  o.dns = dnsOf(sources.block("dns"));
  o.merge = mergeOf(sources.block("merge"));
  o.settingsReload = top.block("configuration").one("settings-reload").yes;
  const auto complain = [&](kdl::Place at, const char* where, const std::string& found,
                            const std::string& due) {
    complaints.push_back({at, where, found, due});
  };
  const auto placesOf = [&](const Section& s, const char* where, std::vector<Place>& places) {
    for (const Section& p : s.blocks.at("place")) {
      Place place;
      if (!readNet(p.one("net").text, place))
        complain(p.one("net").place, (std::string(where) + ".place.net").c_str(),
                 "\"" + p.one("net").text + "\"", "a net such as \"10.1.0.0/16\"");
      if (p.has("zone")) place.zone = p.one("zone").text;
      if (p.has("kind")) place.kind = p.one("kind").text;
      place.podGroup = static_cast<int>(p.whole("pod-group"));
      const auto known = [&](const char* field, const std::string& name,
                             const std::vector<std::string>& all) {
        if (names == nullptr || name.empty() || discovery::placeOf(all, name) >= 0) return;
        std::string list;
        for (const std::string& n : all) list += (list.empty() ? "" : ", ") + n;
        complain(p.one(field).place, (std::string(where) + ".place." + field).c_str(), "\"" + name + "\"",
                 "one of the configuration's: " + list);
      };
      known("zone", place.zone, names == nullptr ? std::vector<std::string>{} : names->zones);
      known("kind", place.kind, names == nullptr ? std::vector<std::string>{} : names->kinds);
      places.push_back(place);
    }
  };
  for (const Section& s : sources.blocks.at("srv")) {
    Srv srv;
    if (s.has("label")) srv.label = s.one("label").text;
    if (s.has("name")) {
      srv.name = s.one("name").text;
      if (!isName(srv.name))
        complain(s.one("name").place, "sources.srv.name", "\"" + srv.name + "\"",
                 "a domain name such as \"_orders._tcp.example.org\"");
    }
    for (const Srv& other : o.srv) {
      if (other.label == srv.label)
        complain(s.place, "sources.srv", "\"" + srv.label + "\" a second time", "a label of its own");
    }
    placesOf(s, "sources.srv", srv.places);
    if (srv.places.empty())
      complain(s.place, "sources.srv.place", "none", "at least one, such as place zone=\"east\"");
    o.srv.push_back(std::move(srv));
  }
  for (const Section& s : sources.blocks.at("zone")) {
    Zone z;
    const auto text = [&](const char* name) { return s.has(name) ? s.one(name).text : std::string(); };
    const auto name = [&](const char* field, const Read& r) {
      if (!isName(r.text))
        complain(r.place, (std::string("sources.zone.") + field).c_str(), "\"" + r.text + "\"",
                 "a domain name such as \"example.org\"");
      return lowered(r.text);
    };
    z.label = text("label");
    if (s.has("origin")) z.origin = name("origin", s.one("origin"));
    for (const Read& r : s.fields.at("service")) {
      z.services.push_back(name("service", r));
      const std::string& service = z.services.back();
      if (!z.origin.empty() && service != z.origin &&
          (service.size() <= z.origin.size() ||
           service.compare(service.size() - z.origin.size() - 1, std::string::npos, "." + z.origin) != 0))
        complain(r.place, "sources.zone.service", "\"" + r.text + "\"", "a name within " + z.origin);
    }
    placesOf(s, "sources.zone", z.places);
    z.authority = s.one("authority").yes;
    z.folder = text("folder");
    z.file = text("file");
    z.watchEvery = s.micros("watch-every");
    z.state = text("state");
    z.keys = text("keys");
    if (s.has("listen")) z.listen = net::Address::parse(s.one("listen").text);
    z.remembered = static_cast<std::size_t>(s.whole("remembered"));
    z.pending = static_cast<std::size_t>(s.whole("pending"));
    z.connections = static_cast<std::size_t>(s.whole("connections"));
    for (const Section& g : s.blocks.at("grant")) {
      Grant grant;
      if (g.has("key")) grant.key = lowered(g.one("key").text);
      if (g.has("name")) grant.name = lowered(g.one("name").text);
      if (g.has("types")) {
        std::istringstream words(g.one("types").text);
        for (std::string word; words >> word;) {
          static const char* const known[] = {"A", "AAAA", "CNAME", "NS", "SRV", "TXT"};
          if (std::find(std::begin(known), std::end(known), word) == std::end(known))
            complain(g.one("types").place, "sources.zone.grant.types", "'" + word + "'",
                     "some of: A AAAA CNAME NS SRV TXT");
          grant.types.push_back(word);
        }
      }
      z.grants.push_back(std::move(grant));
    }
    if (!z.label.empty() &&
        z.label.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") != std::string::npos)
      complain(s.one("label").place, "sources.zone.label", "\"" + z.label + "\"",
               "small letters, digits and -: it names files");
    for (const Read& r : s.fields.at("primary")) {
      if (const auto address = net::Address::parse(r.text)) z.primaries.push_back(*address);
    }
    const bool follows = !s.fields.at("primary").empty();
    if (follows && (!z.file.empty() || !z.keys.empty() || !z.grants.empty()))
      complain(s.place, "sources.zone.primary", "a primary beside a file, keys or grants",
               "one place where the zone is changed");
    if (z.file.empty() != z.folder.empty())
      complain(s.place, "sources.zone.file", "only one of file and folder", "both or neither");
    if (z.file.empty() && !z.listen && !follows)
      complain(s.place, "sources.zone", "neither file nor listen nor primary",
               "one of them: the zone has to come from somewhere");
    if (z.listen && !follows && (z.state.empty() || z.keys.empty() || z.grants.empty()))
      complain(s.place, "sources.zone.listen", "updates without state, keys or a grant",
               "all three: what is accepted is kept, and signed by who may");
    for (const Zone& other : o.zones) {
      if (other.label == z.label)
        complain(s.place, "sources.zone", "\"" + z.label + "\" a second time", "a label of its own");
    }
    o.zones.push_back(std::move(z));
  }
  if (!o.srv.empty() && !sources.block("dns").has("server"))
    complain(sources.place, "sources.dns.server", "none", "at least one, since there is an srv source");
  if (!o.sources() && !o.roster)
    complain(sources.one("roster").place, "sources.roster", "false and no other", "at least one source");
  if (o.merge.tierBack < o.merge.tierLeast)
    complain(sources.block("merge").place, "sources.merge.tier-back", "less than tier-least",
             "at least tier-least, or tiers would join and leave by turns");
  if (o.dns.ttlMost < o.dns.ttlLeast)
    complain(sources.block("dns").place, "sources.dns.ttl-ceiling", "less than ttl-floor",
             "at least ttl-floor");
  if (!complaints.empty()) {
    std::stable_sort(complaints.begin(), complaints.end(), [](const Complaint& a, const Complaint& b) {
      return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
    });
    std::string lines;
    for (const Complaint& c : complaints) {
      lines += (lines.empty() ? "" : "\n") + file + ":" + std::to_string(c.place.line) + ":" +
               std::to_string(c.place.column) + ": " + c.where + ": found " + c.found + ", expected " +
               c.expected;
    }
    throw Wrong(lines);
  }
  return o;
}

Operator load(const std::string& path, const discovery::Names* names) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Wrong(path + ":1:1: file: found nothing that can be read, expected the operator's file");
  std::string text(kdl::kLargest + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, file.gcount())));
  if (file.bad())
    throw Wrong(path + ":1:1: file: found an error while reading, expected the operator's file");
  return parse(text, path, names);
}

std::string tableOf(const Operator& o) {
  std::ostringstream out;
  out << "sources    roster " << (o.roster ? "on" : "off") << ", " << o.srv.size() << " srv, "
      << o.zones.size() << " zones\nreload     addresses" << (o.settingsReload ? " and settings" : "")
      << '\n';
  for (const Srv& s : o.srv)
    out << "srv        " << s.label << ": " << s.name << ", " << s.places.size() << " places\n";
  for (const Zone& z : o.zones)
    out << "zone       " << z.label << ": " << z.origin << ", " << z.services.size() << " services, file "
        << (z.file.empty() ? "none" : z.folder + "/" + z.file) << ", updates "
        << (z.listen && z.primaries.empty() ? z.listen->text() : "off") << ", " << z.primaries.size()
        << " primaries" << '\n';
  if (!o.srv.empty()) {
    out << "dns       ";
    for (const net::Address& a : o.dns.servers) out << ' ' << a.text();
    out << ", lifetimes " << o.dns.ttlLeast / 1000 << " to " << o.dns.ttlMost / 1000 << " ms, stale "
        << o.dns.staleFor / 1000 << " ms\nmerge      stale " << o.merge.staleFor / 1000 << " ms, steps of "
        << o.merge.stepShare << " every " << o.merge.stepEvery / 1000 << " ms, more than "
        << o.merge.confirmShare << " at once waits " << o.merge.confirmWithin / 1000 << " ms\n";
  }
  return out.str();
}

}  // namespace peargrade::op
