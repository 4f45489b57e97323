/// Rules that decide whether a server is in the endpoint list and in which state.
#pragma once

namespace peargrade::membership {

/// Why a server is listed, draining or not listed. docs/membership.md describes each rule under its code.
enum class Rule {
  Roster,           // the roster lists it as ready
  RosterDraining,   // the roster drains it
  RosterGone,       // the roster removed it, and no restart has been observed since
  RosterExpired,    // the roster lists it, but its records have expired or are unconfirmed
  Records,          // unexpired records list it
  RecordsDraining,  // records with authority drain it
  RecordsGone,      // records with authority removed it, and no restart has been observed since
  Stale,            // its records have expired, but the stale retention has not passed
  Leaving,          // past the stale retention or the confirmation timeout: waits for a removal step
  Removed,          // a complete response left it out
  Confirm,          // a response left out too many servers at once: awaits a second, confirming response
  KeepLeast,        // kept because it is one of the last ready servers
  Standby,          // not listed: its tier is not in use
  TierLeaving,      // its tier is no longer needed: leaves in removal steps
  FlapHeld,         // returned too often: not listed until the hold time has passed
  RosterAwaited,    // not listed until the roster has been received or its startup timeout has passed
  TakenBack,        // listed again: a source with authority removed it, and it has restarted since
};

/// Code of the rule in logs, in the output of `sources explain` and in docs/membership.md, for example
/// "roster-draining".
const char* codeOf(Rule rule);

}  // namespace peargrade::membership
