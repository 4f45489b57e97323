// Converts the SRV records of a service, as resolved, to an observation for the membership. No I/O, no clock.
#pragma once

#include "dns/srv.h"
#include "locality/locality_map.h"
#include "membership/membership.h"

namespace peargrade::sources {

/// Converts the lookup result `service` to an observation of the source with index `sourceIndex`. Every
/// address of a target becomes one record. Addresses outside all networks of `localities` are left out and
/// added to `unmappedAddresses`. The result of a failed lookup must not be passed.
membership::Observation toObservation(const dns::Service& service, std::size_t sourceIndex,
                                      const locality::LocalityMap& localities,
                                      std::size_t& unmappedAddresses);

}  // namespace peargrade::sources
