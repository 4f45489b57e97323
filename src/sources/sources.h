// Runs the sources of servers: looks SRV services up on schedule, keeps the zones, receives the lists of
// discovery, and posts the merged list to the dispatcher. The policies are elsewhere:
// src/dns/lookup_schedule.h decides when to look up, src/membership decides which servers are listed.
#pragma once

#include <list>

#include "dns/lookup_schedule.h"
#include "dns/resolver.h"
#include "membership/membership.h"
#include "net/net.h"
#include "sources/source_registry.h"
#include "sources/srv_observation.h"
#include "zone_server/zone_source.h"

namespace peargrade::sources {

/// Pairs each server of `update` with the address at the same index of `endpoints`; with "" if there is none.
std::vector<membership::RosterEntry> rosterEntries(const EndpointListUpdate& update,
                                                   const std::vector<std::string>& endpoints);

/// All sources of one supervisor and the membership that results from them.
class Sources : public SourceRegistry {
 public:
  Sources(const Dependencies& dependencies, dns::Resolver::Random random);
  ~Sources() override;

  void roster(const EndpointListUpdate& update, const std::vector<std::string>& endpoints) override;
  void explain() override;
  void reload() override;

  const std::list<zone_server::ZoneSource>& zones() const { return zones_; }
  const membership::Membership& membership() const { return membership_; }
  const dns::Resolver& resolver() const { return resolver_; }
  dns::Resolver& resolver() { return resolver_; }
  /// Whether every zone is ready and every service has been looked up at least once, successfully or not.
  bool allSourcesQueried() const;

 private:
  /// An SRV service that is looked up repeatedly, with the result of its last lookup.
  struct WatchedService {
    WatchedService(Sources& owner, std::size_t sourceIndex, const op::Srv& settings);
    const std::size_t sourceIndex;
    const op::Srv& settings;
    const locality::LocalityMap localities;
    dns::LookupSchedule schedule;
    net::Timer lookupTimer;
    bool queried = false;
    dns::Service::Kind lastKind = dns::Service::Kind::Complete;
    std::size_t unmappedAddresses = 0;
  };
  void startLookup(WatchedService& watched);
  void handleLookupResult(WatchedService& watched, const dns::Service& service);
  void observe(const membership::Observation& observation);
  void scheduleReconcile() { reconcileTimer_.schedule(0); }
  /// Posts the list if it has changed, and schedules the next reconciliation.
  void reconcile();

  const Dependencies dependencies_;
  dns::Resolver::Random random_;
  dns::Resolver resolver_;
  membership::Membership membership_;
  std::list<WatchedService> services_;
  std::vector<std::string> labels_;              // of the SRV and zone sources, by source index
  std::unique_ptr<zone_server::Worker> worker_;  // declared before zones_, whose jobs it runs
  std::list<zone_server::ZoneSource> zones_;
  net::Timer reconcileTimer_;
  std::uint64_t loggedRejectedServers_ = 0;  // total of rejections at the last warning
  bool listAnnounced_ = false;               // the dispatcher was notified that the list is known
};

}  // namespace peargrade::sources
