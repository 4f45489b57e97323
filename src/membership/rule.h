// The rules that decide how a server stands in the list.
#pragma once

namespace peargrade::membership {

// Why a server stands in the list as it does. docs/membership.md has a paragraph for each.
enum class Rule {
  Roster,           // the roster lists it
  RosterDraining,   // the roster drains it
  RosterGone,       // the roster took it out, and nothing has shown since that it started again
  RosterExpired,    // the roster lists it, its record's lifetime is over
  Records,          // records list it, within their lifetime
  RecordsDraining,  // records with authority drain it
  RecordsGone,      // records with authority took it out, and nothing has shown since that it started again
  Stale,            // its record's lifetime is over; it is kept until the stale bound
  Leaving,          // past the stale bound or the wait for a second answer: it waits for its step
  Removed,          // a complete answer no longer lists it
  Confirm,          // the same, but it would take much of the pool: a second answer is waited for
  KeepLeast,        // one of the last that there are
  Standby,          // of a lower tier that is not in use
  TierLeaving,      // of a lower tier that is not needed any more: it goes in steps
  FlapHeld,         // came back too often
  RosterAwaited,    // the roster has not spoken yet
  TakenBack,        // was gone by the roster, and came anew after that
};
// As logs and answers have it: "roster-draining".
const char* codeOf(Rule rule);

}  // namespace peargrade::membership
