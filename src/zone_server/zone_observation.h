// What a zone offers, as the membership is told: the servers of its services with their attributes. Free of
// I/O.
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

// Attributes stand in TXT records at the name of a target, one text each: "state=draining" (or ready),
// "zone=east", "kind=m1", "pod-group=3", "started=1764600000123" (Unix milliseconds). What is not understood
// is left out and told. `drained`: names that count as draining whatever the zone says now.
struct ZoneObservation {
  membership::Observation observation;
  std::set<std::string> endpoints;
  std::vector<std::string> notes;
};

// Of the services (names of SRV records) of a zone. `asOf`, `until`: Unix microseconds.
ZoneObservation observeZone(const dns_zone::Zone& zone, const std::vector<std::string>& services,
                            const locality::LocalityMap& places, const discovery::Names& names,
                            std::size_t source, Micros asOf, Micros until,
                            const std::set<std::string>& drained = {});

// The targets that a change added a record of, with its time.
void addTargets(const dns_zone::Difference& change, Micros at, std::map<std::string, Micros>& targets);
// The names that a change gave the state draining.
void addDrained(const dns_zone::Difference& change, std::set<std::string>& hosts);

}  // namespace peargrade::zone_server
