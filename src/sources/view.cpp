#include "sources/view.h"

namespace peargrade::sources {

membership::Observation observed(const dns::Service& service, std::size_t source,
                                 const locality::LocalityMap& places, std::size_t& misplaced) {
  membership::Observation o;
  o.kind = service.kind == dns::Service::Kind::Complete ? membership::Observation::Kind::Complete
                                                        : membership::Observation::Kind::Partial;
  o.source = source;
  o.asOf = service.asOf;
  for (const dns::Target& target : service.targets) {
    if (!target.sure) o.unresolvedTargets.insert(target.name);
    for (const std::string& address : target.addresses) {
      membership::ServiceRecord s;
      s.address = address + ":" + std::to_string(target.port);
      s.target = target.name;
      s.priority = target.priority;
      s.weight = target.weight;
      s.expiresAt = target.until;
      if (places.locate(address, s))
        o.records.push_back(std::move(s));
      else
        ++misplaced;
    }
  }
  return o;
}

}  // namespace peargrade::sources
