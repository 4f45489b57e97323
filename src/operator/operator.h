// The operator's file: what a supervisor is to do beyond the platform's configuration. Without it everything
// that it could switch on is off.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "dns/settings.h"
#include "errors/parse_error.h"
#include "membership/settings.h"
#include "operator/schema.h"

namespace peargrade::op {

// Where a server that only DNS knows stands, by its address; the first that fits holds.
struct Place {
  std::uint32_t net = 0, mask = 0;
  std::string zone, kind;  // names of the settings; kind "": the first
  int podGroup = 0;
};

// A service that is looked up by its SRV records (RFC 2782).
struct Srv {
  std::string label;  // names it in logs and answers
  std::string name;   // "_orders._tcp.example.org"
  std::vector<Place> places;
};

// Which key may change which names and types of a zone.
struct Grant {
  std::string key, name;           // "*.example.org": it and all below
  std::vector<std::string> types;  // empty: all
};

// A zone that this installation keeps itself: read from a file, changed by signed updates, or followed from a
// primary.
struct Zone {
  std::string label, origin;
  std::vector<std::string> services;  // names of SRV records whose servers are listed
  std::vector<Place> places;
  bool authority = true;
  std::string folder, file;  // of the zone file; file "": none
  Micros watchEvery = 1000000;
  std::vector<net::Address> primaries;  // followed: NOTIFY, SOA, transfers
  std::string state;                    // folder that lasts; "": nothing is kept
  std::optional<net::Address> listen;   // for updates
  std::string keys;                     // file of the keys
  std::vector<Grant> grants;
  std::size_t remembered = 100000, pending = 4096, connections = 64;
};

// All that the file says.
struct Operator {
  bool roster = true;  // discovery over HTTP is one of the sources
  dns::Settings dns;
  std::vector<Srv> srv;
  std::vector<Zone> zones;
  membership::Settings merge;
  bool settingsReload = false;  // SIGHUP takes `settings` over, checked as a whole

  bool sources() const { return !srv.empty() || !zones.empty(); }
};

// Every block and field that the file may hold.
const Block& schema();

// Throws ParseError with a line "FILE:LINE:COLUMN: FIELD: found ..., expected ..." for each mistake; `file`
// stands in them. `names`: of the configuration; with it zones and kinds are checked.
Operator parse(const std::string& text, const std::string& file, const discovery::Names* names);
Operator load(const std::string& path, const discovery::Names* names);

// What was understood, a line a setting.
std::string tableOf(const Operator& o);

}  // namespace peargrade::op
