/// The rules that decide how a server stands in the endpoint list.
#pragma once

namespace peargrade::membership {

/// Why a server stands in the list as it does. docs/membership.md explains each under its code.
enum class Rule {
  Roster,           // the roster lists it as running
  RosterDraining,   // the roster drains it
  RosterGone,       // the roster removed it, and no restart has been seen since
  RosterExpired,    // the roster lists it; its records have expired or are unconfirmed
  Records,          // unexpired records list it
  RecordsDraining,  // records with authority drain it
  RecordsGone,      // records with authority removed it, and no restart has been seen since
  Stale,            // its records have expired; it stays listed for the stale retention
  Leaving,          // past that retention or the confirmation timeout: leaves in a removal step
  Removed,          // a complete response left it out
  Confirm,          // the same, but of too many servers at once: a second response has to confirm it
  KeepLeast,        // would be removed, but is one of the last ready servers
  Standby,          // of a tier that is not in use
  TierLeaving,      // of a tier that is no longer needed: leaves in removal steps
  FlapHeld,         // returned too often; not listed for a while
  RosterAwaited,    // not listed before the roster has been received
  TakenBack,        // was removed by an authority, and has restarted since
};

/// The rule's code in logs, in the output of `sources explain` and in docs/membership.md: "roster-draining".
const char* codeOf(Rule rule);

}  // namespace peargrade::membership
