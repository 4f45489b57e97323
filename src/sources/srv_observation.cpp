#include "sources/srv_observation.h"

namespace peargrade::sources {

membership::Observation toObservation(const dns::Service& service, std::size_t sourceIndex,
                                      const locality::LocalityMap& localities,
                                      std::size_t& unmappedAddresses) {
  membership::Observation observation;
  observation.kind = service.kind == dns::Service::Kind::Complete ? membership::Observation::Kind::Complete
                                                                  : membership::Observation::Kind::Partial;
  observation.source = sourceIndex;
  observation.asOf = service.asOf;
  for (const dns::Target& target : service.targets) {
    if (!target.sure) observation.unresolvedTargets.insert(target.name);
    for (const std::string& address : target.addresses) {
      membership::ServiceRecord record;
      record.address = address + ":" + std::to_string(target.port);
      record.target = target.name;
      record.priority = target.priority;
      record.weight = target.weight;
      record.expiresAt = target.until;
      if (localities.locate(address, record))
        observation.records.push_back(std::move(record));
      else
        ++unmappedAddresses;
    }
  }
  return observation;
}

}  // namespace peargrade::sources
