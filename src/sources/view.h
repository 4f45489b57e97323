// From what the resolver found of a service to what the membership is told. Free of I/O and clock.
#pragma once

#include "dns/srv.h"
#include "locality/locality_map.h"
#include "membership/membership.h"

namespace peargrade::sources {

// `misplaced` counts addresses that no place holds: they are left out.
membership::Observation observed(const dns::Service& service, std::size_t source,
                                 const locality::LocalityMap& places, std::size_t& misplaced);

}  // namespace peargrade::sources
