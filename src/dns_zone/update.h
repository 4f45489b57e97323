// Dynamic updates (RFC 2136) on a zone: prerequisites, then changes, all or none. Free of I/O.
#pragma once

#include <string>
#include <vector>

#include "dns_zone/message.h"
#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

// What an update has led to.
struct Applied {
  Rcode rcode = Rcode::NoError;
  std::string why;    // for the log, where it is not NoError
  Difference change;  // what became of the zone; empty: nothing
};

// Carries a message out on the zone as RFC 2136, section 3, says. Where the zone changed and the update
// itself did not raise the serial, it goes up by one (section 3.6). The zone is as before where the rcode is
// not NoError.
Applied apply(Zone& zone, const Message& update);

// Takes a change back, or carries it out as it stands in a journal.
void undo(Zone& zone, const Difference& change);
void redo(Zone& zone, const Difference& change);

}  // namespace peargrade::dns_zone
