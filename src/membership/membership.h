/// Merges several sources into one endpoint list: consumes observations and produces updates of the list.
/// Does no I/O, reads no clock and uses no threads. docs/membership.md specifies the rules.
///
/// There are two kinds of source. The roster (discovery) has authority over the state of a server. Records
/// (DNS) state only that a service is offered at an address until they expire. Records of a zone that this
/// installation manages itself may have authority too.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/departure_queue.h"
#include "membership/evaluation_schedule.h"
#include "membership/known_servers.h"
#include "membership/listing_rules.h"
#include "membership/observation.h"
#include "membership/published_list.h"
#include "membership/rule.h"
#include "membership/settings.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// A change of one server in the list, and the rule that caused it. The caller logs it.
struct Decision {
  ServerId server;
  EndpointState state = EndpointState::Ready;
  Rule rule = Rule::Roster;
};

/// An update of the list for the decision module.
struct MembershipUpdate {
  EndpointListUpdate list;
  /// One entry per server that changed.
  std::vector<Decision> decisions;
};

/// State of a server in the list and in each source, for `sources explain` and the log.
struct Explanation {
  std::string address;
  ServerId server;
  bool listed = false;
  EndpointState state = EndpointState::Removed;
  Rule rule = Rule::Roster;
  /// When the state next changes without an observation, in microseconds; 0: it does not.
  Micros until = 0;
  Micros startedAt = 0;
  double weight = 1;
  /// State in the roster: "ready", "draining", "gone", or "" if the roster never listed the server.
  std::string roster;
  /// For each source of records, a description of what it reports.
  std::vector<std::string> records;
};

/// Holds the observations of all sources and the list published from them. sources::Sources calls it from its
/// event loop. Times are in microseconds of one clock that must not go backwards between calls.
class Membership {
 public:
  /// `authority`: for each source of records, whether it has authority. `cached`: the list of the
  /// configuration. With a roster, `cached` stays published until the roster replaces it. Its servers keep
  /// their start times.
  Membership(const Settings& settings, const std::vector<bool>& authority, bool hasRoster,
             const std::vector<RosterEntry>& cached, Micros now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // ---- Observations ----
  /// Applies a full list or a delta of the roster. Does nothing for other kinds or without a roster.
  void applyRoster(EndpointListKind kind, const std::vector<RosterEntry>& entries, Micros now);
  /// Applies an observation of a source of records, unless a later complete one has already been applied.
  void applyRecords(const Observation& observation, Micros now);
  /// Makes the next update carry the full list.
  void requestFullList() { fullListRequested_ = true; }

  // ---- Decisions ----
  /// Evaluates the rules at `now` and returns the resulting update; nullopt if there is none to publish.
  std::optional<MembershipUpdate> reconcile(Micros now);
  /// When reconcile() is next due without a new observation; nullopt if it is not.
  std::optional<Micros> nextReconcile() const;
  std::vector<Explanation> explain(Micros now) const;

  /// Whether a removal awaits a second response. The sources then query earlier.
  bool awaitsConfirmation() const;
  /// Number of roster entries and records rejected since the start because of `serversMax`.
  std::uint64_t rejectedServers() const { return rejectedServers_; }
  std::size_t listedCount() const { return published_.size(); }
  std::size_t readyCount() const { return published_.readyCount(); }

 private:
  // ---- roster.cpp ----
  void addRosterServer(const RosterEntry& entry);
  void removeRosterServer(const ServerId& server, Micros now);
  void removeMissingFromRoster(const std::vector<RosterEntry>& entries, Micros now);
  void setRosterEntry(const RosterEntry& entry);
  AddressState& addressState(const std::string& address);
  // ---- records.cpp ----
  bool applyRecord(std::size_t source, const ServiceRecord& record, Micros asOf, bool warm);
  void applyAuthority(AddressState& state, const RecordView& view, const ServiceRecord& record);
  void updateStart(AddressState& state, const ServiceRecord& record, Micros asOf, bool warm) const;
  void applyAbsences(const Observation& observation, Micros now);
  bool removalAffectsReadyServer(const std::string& address, const AddressState& state,
                                 const RecordView& view) const;
  void removeRecord(const std::string& address, AddressState& state, RecordView& view, Micros asOf);
  void recountTiers(std::size_t source, Micros now);
  void updateTiers(Micros now);
  // ---- publication.cpp ----
  void evaluateChanged(Micros now, MembershipUpdate& update);
  void evaluateAddress(const std::string& address, Micros now, MembershipUpdate& update);
  void evaluateRosterServer(const ServerId& server, Micros now, MembershipUpdate& update);
  void keepLastReady(const std::string& address, DesiredState& desired);
  void recordReturn(AddressState& state, Micros now) const;
  void scheduleEvaluations(const std::string& address, AddressState& state, const DesiredState& desired,
                           const RecordView* view, Micros now);
  void forgetIfAbsent(const std::string& address, AddressState& state, const RecordView* view, Micros now);
  void publish(const ServerId& server, const DesiredState& desired, MembershipUpdate& update);
  void withdraw(const ServerId& server, Rule rule, MembershipUpdate& update);
  void runRemovalStep(Micros now, MembershipUpdate& update);
  void beginDeparture(const std::string& address, Micros now, MembershipUpdate& update);
  void markChanged(const std::string& address) { changedAddresses_.insert(address); }
  // ---- explain.cpp ----
  Explanation explainServer(const ServerId& server, const std::string& address, const DesiredState& desired,
                            Micros now) const;

  const Settings settings_;
  KnownServers known_;
  PublishedList published_;
  const ListingRules rules_{settings_, known_, published_};
  /// Start times of the cached servers by address, kept until no source of records lists the address.
  std::map<std::string, Micros> cachedStarts_;

  /// Addresses and roster servers to evaluate at the next reconciliation.
  std::set<std::string> changedAddresses_;
  std::set<ServerId> changedRosterServers_;
  EvaluationSchedule schedule_;
  DepartureQueue departures_;
  /// Addresses listed by Rule::KeepLeast. Evaluated at each reconciliation.
  std::set<std::string> lastReady_;
  /// Addresses not listed because of Rule::FlapHeld. Evaluated when too few servers are ready.
  std::set<std::string> flapHeld_;

  bool fullListRequested_ = true;
  /// Whether the next reconciliation publishes an update even if it changes nothing: a source has confirmed
  /// the list.
  bool updateDue_ = false;
  std::int64_t version_ = 0;
  std::uint64_t rejectedServers_ = 0;
};

}  // namespace peargrade::membership
