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

/// Where a server that only DNS knows stands, by its address. The first place that matches counts.
struct Place {
  /// Network address and mask, in host byte order.
  std::uint32_t net = 0;
  std::uint32_t mask = 0;
  /// Names of the settings. `kind` empty: the first one.
  std::string zone;
  std::string kind;
  int podGroup = 0;
};

/// A service that is looked up by its SRV records (RFC 2782).
struct Srv {
  /// Names it in logs and answers.
  std::string label;
  /// For example "_orders._tcp.example.org".
  std::string name;
  std::vector<Place> places;
};

/// Which key may change which names and types of a zone.
struct Grant {
  std::string key;
  /// "*.example.org" stands for the name and all below it.
  std::string name;
  /// Record types; empty: all.
  std::vector<std::string> types;
};

/// A zone that this installation keeps itself: read from a file, changed by signed updates, or followed from
/// a primary.
struct Zone {
  /// Names it in logs and answers.
  std::string label;
  std::string origin;
  /// Names of SRV records whose servers are listed.
  std::vector<std::string> services;
  std::vector<Place> places;
  bool authority = true;
  /// Folder and name of the zone file. `file` empty: none.
  std::string folder;
  std::string file;
  /// Interval at which the zone file is checked for changes.
  Micros watchEvery = 1000000;
  /// Primaries that are followed by NOTIFY, SOA queries and transfers.
  std::vector<net::Address> primaries;
  /// Persistent folder; empty: nothing is kept.
  std::string state;
  /// Address for updates.
  std::optional<net::Address> listen;
  /// Path of the file of the keys.
  std::string keys;
  std::vector<Grant> grants;
  /// Limits: answers kept for repeated updates, updates that wait, open connections.
  std::size_t remembered = 100000;
  std::size_t pending = 4096;
  std::size_t connections = 64;
};

/// The operator's file as it was understood.
struct Operator {
  /// Discovery over HTTP is one of the sources.
  bool roster = true;
  dns::Settings dns;
  std::vector<Srv> srv;
  std::vector<Zone> zones;
  membership::Settings merge;
  /// SIGHUP applies the `settings` of the configuration, checked as a whole.
  bool settingsReload = false;

  bool sources() const { return !srv.empty() || !zones.empty(); }
};

/// Every block and field that the file may hold.
const Block& schema();

/// Throws ParseError with a line "FILE:LINE:COLUMN: FIELD: found ..., expected ..." for each mistake; `file`
/// stands in them. `names`: of the configuration; with it zones and kinds are checked.
Operator parse(const std::string& text, const std::string& file, const discovery::Names* names);
Operator load(const std::string& path, const discovery::Names* names);

// What was understood, a line a setting.
std::string tableOf(const Operator& o);

}  // namespace peargrade::op
