#include "membership/rule.h"

namespace peargrade::membership {

const char* codeOf(Rule rule) {
  switch (rule) {
    case Rule::Roster:
      return "roster";
    case Rule::RosterDraining:
      return "roster-draining";
    case Rule::RosterGone:
      return "roster-gone";
    case Rule::RosterExpired:
      return "roster-expired";
    case Rule::Records:
      return "records";
    case Rule::RecordsDraining:
      return "records-draining";
    case Rule::RecordsGone:
      return "records-gone";
    case Rule::Stale:
      return "stale";
    case Rule::Leaving:
      return "leaving";
    case Rule::Removed:
      return "removed";
    case Rule::Confirm:
      return "confirm";
    case Rule::KeepLeast:
      return "keep-least";
    case Rule::Standby:
      return "standby";
    case Rule::TierLeaving:
      return "tier-leaving";
    case Rule::FlapHeld:
      return "flap-held";
    case Rule::RosterAwaited:
      return "roster-awaited";
    case Rule::TakenBack:
      return "taken-back";
  }
  return "?";
}

}  // namespace peargrade::membership
