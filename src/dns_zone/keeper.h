// Whether a zone that was read or transferred takes the place of the one in force: by its serial (RFC 1982),
// and what an operator has accepted. Free of I/O and clock.
#pragma once

#include <optional>
#include <string>

#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

enum class Judgement {
  First,       // there was none
  Same,        // nothing changed
  Newer,       // a later serial
  Accepted,    // not later, and an operator has said that it is meant
  Backwards,   // an earlier serial, or one half the circle away
  SameSerial,  // the same serial with other content
};
const char* codeOf(Judgement judgement);
inline bool takes(Judgement j) {
  return j == Judgement::First || j == Judgement::Newer || j == Judgement::Accepted;
}

class Keeper {
 public:
  // `accepted`: the serial that an operator has accepted, if any.
  Judgement judge(const Zone* now, const Zone& candidate, std::optional<std::uint32_t> accepted) const;
  // A refusal is told once, with both serials; told again only after another one or a change.
  std::optional<std::string> tell(Judgement judgement, const Zone* now, const Zone& candidate);

 private:
  std::string told_;
};

}  // namespace peargrade::dns_zone
