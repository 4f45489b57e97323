// Decides by serial (RFC 1982) whether a zone that was read or transferred replaces the current one. An
// operator can accept a serial that is not newer. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

/// How a candidate zone relates to the current one.
enum class SerialVerdict {
  First,       // no current zone
  Same,        // identical zone
  Newer,       // a later serial
  Accepted,    // not later, but accepted by an operator
  Backwards,   // an earlier serial, or one 2^31 away (undefined order)
  SameSerial,  // the same serial with different content
};
/// The reason code in the log: "serial-backwards".
const char* codeOf(SerialVerdict verdict);
inline bool replacesZone(SerialVerdict verdict) {
  return verdict == SerialVerdict::First || verdict == SerialVerdict::Newer ||
         verdict == SerialVerdict::Accepted;
}

/// Compares the serials of zones and reports each rejection once.
class SerialPolicy {
 public:
  /// `now`: the current zone, or null. `accepted`: the serial that an operator has accepted, if any.
  SerialVerdict judge(const Zone* now, const Zone& candidate, std::optional<std::uint32_t> accepted) const;
  /// The log text of a rejection, with both serials. Nullopt if the zone is not rejected, or if the text
  /// equals that of the previous call.
  std::optional<std::string> tell(SerialVerdict verdict, const Zone* now, const Zone& candidate);

 private:
  std::string lastRejection_;
};

}  // namespace peargrade::dns_zone
