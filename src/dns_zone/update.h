// Applies dynamic updates (RFC 2136) to a zone: checks the prerequisites, then applies all changes or none.
// No I/O.
#pragma once

#include <string>
#include <vector>

#include "dns_zone/message.h"
#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

/// The result of an update.
struct UpdateResult {
  Rcode rcode = Rcode::NoError;
  std::string why;    // for the log, if not NoError
  Difference change;  // the effect on the zone; empty if none
};

/// Applies an update message to the zone (RFC 2136, section 3). If the zone changes and the update itself
/// does not raise the serial, the serial is incremented (section 3.6). The zone is unchanged unless the rcode
/// is NoError.
UpdateResult apply(Zone& zone, const Message& update);

/// Reverts a change, or applies one from the journal.
void undo(Zone& zone, const Difference& change);
void redo(Zone& zone, const Difference& change);

}  // namespace peargrade::dns_zone
