// The sources of servers round the membership: looks services up in time, takes what discovery tells, and
// posts the one list to the exchange. It decides nothing: when to ask is src/dns/lookup_schedule.h, who is
// listed is src/membership.
#pragma once

#include <list>

#include "dns/lookup_schedule.h"
#include "dns/resolver.h"
#include "membership/membership.h"
#include "net/net.h"
#include "sources/source_registry.h"
#include "sources/view.h"
#include "zone_server/zone_source.h"

namespace peargrade::sources {

// The entries with the endpoint that stands at the same place; "" where there is none.
std::vector<membership::RosterEntry> withEndpoints(const EndpointListUpdate& news,
                                                   const std::vector<std::string>& endpoints);

// All sources of one supervisor and the membership that they lead to.
class Sources : public SourceRegistry {
 public:
  Sources(const Dependencies& around, dns::Resolver::Random random);
  ~Sources() override;

  void roster(const EndpointListUpdate& news, const std::vector<std::string>& endpoints) override;
  void explain() override;
  void reload() override;

  const std::list<zone_server::ZoneSource>& zones() const { return zones_; }
  const membership::Membership& membership() const { return membership_; }
  const dns::Resolver& resolver() const { return resolver_; }
  dns::Resolver& resolver() { return resolver_; }
  // Every service was looked up once at least, with an answer or without.
  bool askedAll() const;

 private:
  struct Watch {
    Watch(Sources& owner, std::size_t number, const op::Srv& srv);
    const std::size_t number;
    const op::Srv& srv;
    const locality::LocalityMap places;
    dns::LookupSchedule schedule;
    net::Timer again;
    bool asked = false;
    dns::Service::Kind said = dns::Service::Kind::Complete;
    std::size_t misplaced = 0;
  };
  void look(Watch& watch);
  void took(Watch& watch, const dns::Service& service);
  void observe(const membership::Observation& o);
  void settleSoon() { turn_.schedule(0); }
  void settle();

  const Dependencies around_;
  dns::Resolver::Random random_;
  dns::Resolver resolver_;
  membership::Membership membership_;
  std::list<Watch> watches_;
  std::vector<std::string> labels_;              // of the sources of records, in their order
  std::unique_ptr<zone_server::Worker> worker_;  // before zones_, whose jobs it runs
  std::list<zone_server::ZoneSource> zones_;
  net::Timer turn_;
  std::uint64_t overfull_ = 0;  // as told
  bool known_ = false;          // the exchange was told that the list is known
};

}  // namespace peargrade::sources
