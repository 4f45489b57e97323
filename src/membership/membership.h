// Several sources become one list of servers. Observations go in, changes of the list come out; the rules are
// written down in docs/membership.md, and each decision names its rule. Free of I/O, clock and threads.
//
// Two kinds of source: the roster (discovery) has authority over the state of a server; records (DNS) say
// that something is offered at an address, and until when. Records of a zone that this installation keeps
// itself may have authority as well.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/rule.h"
#include "membership/settings.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

// One server as the roster lists it.
struct RosterEntry {
  Endpoint entry;
  std::string endpoint;  // "10.1.0.18:3000"; "": not told
};

// One server that records list.
struct Sighting {
  std::string endpoint;  // its address and port: the same there is the same server, whatever its name
  std::string name;      // the target, canonical
  int tier = 0;          // priority of RFC 2782: lower goes first
  double weight = 0;     // weight of RFC 2782
  Micros until = 0;      // end of lifetime
  int zone = 0, kind = 0, cell = 0;
  EndpointState state = EndpointState::Ready;  // or Draining; of a source with authority only
  Micros startedAt = 0;  // 0: not said; another source's counts when it is first seen only
};

// What one source of records said at one moment.
struct Observation {
  enum class Kind {
    Complete,  // all that there is: what it leaves out is not offered any more
    Partial,   // truncated or in part unreadable: what it leaves out is not known
  } kind = Kind::Partial;
  std::size_t source = 0;
  Micros asOf = 0;  // when it was asked; one from before a later one is left out
  std::vector<Sighting> seen;
  std::set<std::string> unsure;  // targets whose addresses are not known: none of theirs counts as left out
};

// A server that changed, and the rule that decided it.
struct Decision {
  ServerId server;
  EndpointState state = EndpointState::Ready;
  Rule rule = Rule::Roster;
};

// A change of the list for the module, and why.
struct News {
  EndpointListUpdate list;
  std::vector<Decision> decisions;  // of what changed
};

// The list and all that is known of it. Times in microseconds of one clock.
class Membership {
 public:
  // `authority`: of each source of records, whether it has any. `known`: the list as the configuration has
  // it; it stands until the roster tells otherwise, and what it holds is not cold because this program
  // started.
  Membership(const Settings& settings, std::vector<bool> authority, bool roster,
             const std::vector<RosterEntry>& known, Micros now);

  // ---- Observations ----
  void roster(EndpointListKind mode, const std::vector<RosterEntry>& entries, Micros now);
  void observe(const Observation& observation, Micros now);
  void wanted() { whole_ = true; }  // the list was asked for: the next news have all of it

  // ---- Decisions ----
  // What has changed in the list by now; nothing if nothing has.
  std::optional<News> settle(Micros now);
  std::optional<Micros> due() const;  // when to settle without an observation

  struct Explained {
    std::string endpoint;
    ServerId server;  // as it is told
    bool listed = false;
    EndpointState state = EndpointState::Removed;
    Rule rule = Rule::Roster;
    Micros until = 0;  // 0: until something is heard
    Micros startedAt = 0;
    double weight = 1;
    std::string roster;                // what the roster says
    std::vector<std::string> records;  // what each source of records says
  };
  std::vector<Explained> explain(Micros now) const;

  bool confirming() const;  // a second answer is waited for
  std::uint64_t overfull() const {
    return overfull_;
  }  // sightings left out since the start: too many servers
  std::size_t listed() const { return published_.size(); }
  std::size_t ready() const { return ready_; }

 private:
  struct View {  // of one source of records on one spot
    bool present = false;
    Micros seenAt = 0;      // asOf of the last sighting
    Micros appearedAt = 0;  // asOf of the first one since it was absent
    Micros absentAt = 0;    // asOf of the last complete answer without it, before it appeared
    Micros goneAsOf = 0;    // asOf of what took it out
    Micros confirmBy = 0;   // a complete answer left it out; that takes effect by itself then
    Sighting last;
  };
  struct Spot {  // an address and port
    std::vector<View> views;
    std::set<ServerId> uids;      // of the roster, listed here
    Micros goneAt = 0;            // an authority took it out then
    bool goneByRecords = false;   // and that was not the roster
    Micros drainedAt = 0;         // records with authority drain it since
    Micros startedAt = 0;         // of the server that records alone list
    Micros absentAsOf = 0;        // the evidence on which it went last; 0: it never did
    Micros forgetAt = 0;          // absent: forgotten then
    bool takenBack = false;       // but it has started again since
    bool leaving = false;         // waits in leaving_
    bool tierOut = false;         // of a lower tier, told to drain
    std::vector<Micros> returns;  // when it was told anew, within the span
    Micros wakeAt = 0;            // in due_
  };
  struct Listed {  // by the roster
    Endpoint entry;
    std::string endpoint;
  };
  struct Tier {
    std::size_t present = 0, usable = 0;
    std::size_t peak = 0;  // how many it had, held for the stale bound after it shrank
    Micros peakUntil = 0;
    double mean = 0;  // weight
    bool used = false;
  };
  struct Source {
    bool authority = false;
    Micros lastComplete = 0, previousComplete = 0;  // asOf of the last two from different moments
    bool spoken = false;
    std::map<int, Tier> tiers;
  };
  struct Desired {
    bool listed = false;
    Endpoint entry;
    Rule rule = Rule::Records;
    Micros until = 0;  // 0: until something is heard
  };
  struct Published {
    Endpoint entry;
    Rule rule = Rule::Roster;
  };

  // ---- roster.cpp ----
  void unlist(const ServerId& uid, Micros now);
  void unlistMissing(const std::vector<RosterEntry>& entries, Micros now);
  void list(const RosterEntry& e);
  void moveSpot(const ServerId& uid, Listed& listed, const std::string& endpoint);
  // ---- records.cpp ----
  Spot* spotAt(const std::string& endpoint);
  bool applySighting(std::size_t source, const Sighting& s, Micros asOf, bool warm);
  void noteStart(Spot& spot, const Sighting& s, Micros asOf, bool warm) const;
  static bool changes(const Spot& spot, const View& view, const Sighting& s, Micros asOf);
  static void update(View& view, const Source& from, const Sighting& s, Micros asOf);
  void applyAuthority(Spot& spot, const View& view, const Sighting& s);
  void leaveOut(const Observation& o, Micros now);
  void takeOut(const std::string& endpoint, Spot& spot, View& view, Micros asOf);
  bool overdue(const View& view, Micros now) const;
  bool anyPresent(const Spot& spot) const;
  // ---- tiers.cpp ----
  void recount(std::size_t source, Micros now);
  void retier(Micros now);
  void markTierDirty(std::size_t source, int tier);
  Micros startedAgain(const Spot& spot) const;
  bool usable(const Spot& spot) const;
  double weightOf(const Spot& spot, const View& view) const;
  bool tierNeeded(const Spot& spot, const View& view) const;
  // ---- desired_state.cpp ----
  const View* best(const Spot& spot, Micros now) const;
  bool drained(const Spot& spot, Micros startedAt) const;
  void applyTier(const Spot& spot, const View& view, bool told, Desired& desired) const;
  void applyLifetime(const Spot& spot, const View& view, Micros now, Desired& desired) const;
  std::optional<std::pair<Rule, Micros>> holdBack(const Spot& spot, Micros now) const;
  Desired desiredByRoster(const ServerId& uid, const Listed& listed, Micros now) const;
  Desired desiredByRecords(const std::string& endpoint, const Spot& spot, Micros now) const;
  // ---- changes.cpp ----
  void reevaluate(const std::string& endpoint, Micros now, News& news);
  void reevaluateUid(const ServerId& uid, Micros now, News& news);
  bool waitsForStep(const Spot& spot, const Desired& desired, Micros now) const;
  void countReturn(Spot& spot, Micros now) const;
  void publish(const ServerId& id, const Desired& desired, News& news);
  void step(Micros now, News& news);
  void queue(const std::string& endpoint, Spot& spot, bool leave, Micros now);
  void wake(const std::string& endpoint, Spot& spot, Micros at);
  void markDirty(const std::string& endpoint) { dirty_.insert(endpoint); }
  // ---- explain.cpp ----
  Explained explained(const ServerId& id, const std::string& endpoint, const Desired& desired,
                      Micros now) const;
  static std::string textOf(const View& v, Micros now);

  Settings settings_;
  bool withRoster_;
  bool rosterSpoke_ = false;
  Micros start_;
  std::vector<Source> sources_;
  std::map<std::string, Spot> spots_;
  std::map<ServerId, Listed> roster_;
  std::map<std::string, Micros> knownStart_;  // by endpoint

  std::map<ServerId, Published> published_;  // Ready and Draining
  std::size_t ready_ = 0;
  std::set<std::string> dirty_;     // spots to evaluate again
  std::set<ServerId> dirtyUids_;    // of the roster
  std::set<std::string> lastOnes_;  // kept by KeepLeast: looked at again each time
  std::set<std::string> held_;      // by FlapHeld: wanted at once should nobody be left
  std::set<std::pair<Micros, std::string>> due_;
  std::set<std::pair<Micros, std::string>> leaving_;  // by the time they were due to go
  std::map<std::string, Micros> leavingSince_;
  Micros nextStep_ = 0;
  bool whole_ = true;
  bool heard_ = false;  // something is to be passed on even if nothing changed
  std::int64_t version_ = 0;
  std::uint64_t overfull_ = 0;
};

}  // namespace peargrade::membership
