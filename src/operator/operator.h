/// The operator's file: settings of a supervisor beyond the platform's configuration. Every feature that it
/// can enable is off without it.
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

/// Zone, kind and pod group of servers that only DNS lists, by their address. The first place whose network
/// contains the address applies.
struct Place {
  /// Network address and mask, in host byte order.
  std::uint32_t net = 0;
  std::uint32_t mask = 0;
  /// Names from the configuration's settings. An empty `kind` means the first one.
  std::string zone;
  std::string kind;
  int podGroup = 0;
};

/// A source of servers that is looked up by SRV records (RFC 2782).
struct Srv {
  /// Name of the source in logs and output.
  std::string label;
  /// Owner name of the records, for example "_orders._tcp.example.org".
  std::string name;
  std::vector<Place> places;
};

/// Permission of a key to change names and record types of a zone.
struct Grant {
  std::string key;
  /// "*.example.org" means example.org and all names below it.
  std::string name;
  /// Record types; empty: all.
  std::vector<std::string> types;
};

/// A zone that this installation serves: read from a file, changed by signed updates, or transferred from a
/// primary.
struct Zone {
  /// Name of the zone in logs, output and file names.
  std::string label;
  std::string origin;
  /// Owner names of the SRV records whose servers are listed.
  std::vector<std::string> services;
  std::vector<Place> places;
  /// Its drains and removals take precedence over other sources.
  bool authority = true;
  /// Folder and name of the zone file. An empty `file` means that there is none.
  std::string folder;
  std::string file;
  /// Interval at which the zone file is checked for changes.
  Micros watchEvery = 1000000;
  /// Primaries from which a secondary gets the zone by NOTIFY, SOA queries and transfers.
  std::vector<net::Address> primaries;
  /// Persistent folder for accepted updates. If empty, nothing is stored.
  std::string state;
  /// Address for updates and NOTIFY messages.
  std::optional<net::Address> listen;
  /// Path of the key file.
  std::string keys;
  std::vector<Grant> grants;
  /// Limit of responses that are kept for repeated updates.
  std::size_t remembered = 100000;
  /// Limit of updates that wait to be written to disk.
  std::size_t pending = 4096;
  /// Limit of concurrent TCP connections.
  std::size_t connections = 64;
};

/// Settings of the operator's file, with defaults for what the file omits.
struct Operator {
  /// Use discovery over HTTP as a source.
  bool roster = true;
  dns::Settings dns;
  std::vector<Srv> srv;
  std::vector<Zone> zones;
  membership::Settings merge;
  /// SIGHUP applies the configuration's `settings` if all of them are valid.
  bool settingsReload = false;

  /// Whether there is a source besides the roster.
  bool sources() const { return !srv.empty() || !zones.empty(); }
};

/// Schema of the operator's file.
const Block& schema();

/// Parses the text of an operator's file. Throws ParseError with a line "FILE:LINE:COLUMN: FIELD: found ...,
/// expected ..." for each error, where FILE is `file`. `names`: zones and kinds of the configuration, which
/// the file's are checked against; null: they are not checked.
Operator parse(const std::string& text, const std::string& file, const discovery::Names* names);
/// Reads and parses the file at `path`. Throws ParseError also if it cannot be read.
Operator load(const std::string& path, const discovery::Names* names);

/// Summary of the settings for operators, a line for each source and group.
std::string tableOf(const Operator& settings);

}  // namespace peargrade::op
