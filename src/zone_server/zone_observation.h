// Converts a zone to an observation for the membership: the servers of its services with their attributes.
// This module does no I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "dns_zone/zone.h"
#include "locality/locality_map.h"
#include "membership/membership.h"

namespace peargrade::zone_server {

/// The servers that a zone publishes. Attributes are strings of the TXT records at the name of a target:
/// "state=draining" (or ready), "zone=east", "kind=m1", "pod-group=3", "started=1764600000123" (Unix
/// milliseconds). Invalid attributes are ignored and listed in `notes`.
struct ZoneObservation {
  membership::Observation observation;
  std::set<std::string> endpoints;  // ADDRESS:PORT of the servers
  std::vector<std::string> notes;   // problems, as texts for the log
};

/// Observes the services (names of SRV RRsets) of a zone. `asOf` and `until` are Unix microseconds. Hosts in
/// `drained` count as draining, whatever the zone contains.
ZoneObservation observeZone(const dns_zone::Zone& zone, const std::vector<std::string>& services,
                            const locality::LocalityMap& places, const discovery::Names& names,
                            std::size_t source, Micros asOf, Micros until,
                            const std::set<std::string>& drained = {});

/// Sets `at` as the time of each target for which the change added an address or SRV record.
void addTargets(const dns_zone::Difference& change, Micros at, std::map<std::string, Micros>& targets);
/// Adds the hosts to which the change added "state=draining".
void addDrained(const dns_zone::Difference& change, std::set<std::string>& hosts);

}  // namespace peargrade::zone_server
