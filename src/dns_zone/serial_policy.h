// Whether a zone that was read or transferred takes the place of the one in force: by its serial (RFC 1982),
// and what an operator has accepted. Free of I/O and clock.
#pragma once

#include <optional>
#include <string>

#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

// What a zone that came is beside the one in force.
enum class SerialVerdict {
  First,       // there was none
  Same,        // nothing changed
  Newer,       // a later serial
  Accepted,    // not later, and an operator has said that it is meant
  Backwards,   // an earlier serial, or one half the circle away
  SameSerial,  // the same serial with other content
};
// As logs have it: "serial-backwards".
const char* codeOf(SerialVerdict verdict);
inline bool replacesZone(SerialVerdict j) {
  return j == SerialVerdict::First || j == SerialVerdict::Newer || j == SerialVerdict::Accepted;
}

// Judges zones by their serials, and words a refusal once.
class SerialPolicy {
 public:
  // `accepted`: the serial that an operator has accepted, if any.
  SerialVerdict judge(const Zone* now, const Zone& candidate, std::optional<std::uint32_t> accepted) const;
  // A refusal is told once, with both serials; told again only after another one or a change.
  std::optional<std::string> tell(SerialVerdict verdict, const Zone* now, const Zone& candidate);

 private:
  std::string told_;
};

}  // namespace peargrade::dns_zone
