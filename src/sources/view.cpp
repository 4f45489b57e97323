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
    if (!target.sure) o.unsure.insert(target.name);
    for (const std::string& address : target.addresses) {
      membership::Sighting s;
      s.endpoint = address + ":" + std::to_string(target.port);
      s.name = target.name;
      s.tier = target.priority;
      s.weight = target.weight;
      s.until = target.until;
      if (places.locate(address, s))
        o.seen.push_back(std::move(s));
      else
        ++misplaced;
    }
  }
  return o;
}

}  // namespace peargrade::sources
