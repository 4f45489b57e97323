/// Merges several sources into one endpoint list: observations go in, updates of the list come out. Free of
/// I/O, clock and threads; the rules stand in docs/membership.md.
///
/// There are two kinds of source. The roster (discovery) has authority over the state of a server. Records
/// (DNS) only say that something is offered at an address until a time; records of a zone that this
/// installation keeps itself may have authority as well.
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

/// A server that changed in the list, and the rule that decided it. Logged by its reader.
struct Decision {
  ServerId server;
  EndpointState state = EndpointState::Ready;
  Rule rule = Rule::Roster;
};

/// A change of the list for the decision module.
struct MembershipUpdate {
  EndpointListUpdate list;
  /// For each server that changed, why.
  std::vector<Decision> decisions;
};

/// How a server stands in the list and what each source says of it, for `sources explain` and the log.
struct Explanation {
  std::string address;
  ServerId server;
  bool listed = false;
  EndpointState state = EndpointState::Removed;
  Rule rule = Rule::Roster;
  /// When that changes by itself, in microseconds; 0: only by an observation.
  Micros until = 0;
  Micros startedAt = 0;
  double weight = 1;
  /// "ready", "draining", "gone" or "" if the roster never listed it.
  std::string roster;
  /// By source of records, in words.
  std::vector<std::string> records;
};

/// The list and all that is known of it. Called by sources::Sources in its event loop; times in microseconds
/// of one clock, which never goes back between calls.
class Membership {
 public:
  /// `authority`: for each source of records, whether it has any. `cached`: the list of the configuration.
  /// With a roster it is published until the roster says otherwise; its servers do not count as started with
  /// this program.
  Membership(const Settings& settings, const std::vector<bool>& authority, bool hasRoster,
             const std::vector<RosterEntry>& cached, Micros now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // ---- Observations ----
  /// Takes over a full list or a delta of the roster; ignored without a roster or for any other kind.
  void applyRoster(EndpointListKind kind, const std::vector<RosterEntry>& entries, Micros now);
  /// Takes over what a source of records reports; ignored if a complete response from later has been applied.
  void applyRecords(const Observation& observation, Micros now);
  /// The next update carries the full list.
  void requestFullList() { fullListRequested_ = true; }

  // ---- Decisions ----
  /// What has changed in the list by now; nothing if nothing has.
  std::optional<MembershipUpdate> reconcile(Micros now);
  /// When to reconcile without an observation; nothing: only after one.
  std::optional<Micros> nextReconcile() const;
  std::vector<Explanation> explain(Micros now) const;

  /// Whether a second response is awaited; the sources then ask sooner.
  bool awaitsConfirmation() const;
  /// Roster entries and records rejected since the start, as `serversMax` servers are known.
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
  void noteStart(AddressState& state, const ServiceRecord& record, Micros asOf, bool warm) const;
  void applyAbsences(const Observation& observation, Micros now);
  bool removalCostsReadyServer(const std::string& address, const AddressState& state,
                               const RecordView& view) const;
  void removeRecord(const std::string& address, AddressState& state, RecordView& view, Micros asOf);
  void recountTiers(std::size_t source, Micros now);
  void updateTiers(Micros now);
  // ---- publication.cpp ----
  void evaluateChanged(Micros now, MembershipUpdate& update);
  void evaluateAddress(const std::string& address, Micros now, MembershipUpdate& update);
  void evaluateRosterServer(const ServerId& server, Micros now, MembershipUpdate& update);
  void keepLastReady(const std::string& address, DesiredState& desired);
  void countReturn(AddressState& state, Micros now) const;
  void scheduleEvaluations(const std::string& address, AddressState& state, const DesiredState& desired,
                           const RecordView* view, Micros now);
  void forgetIfAbsent(const std::string& address, AddressState& state, const RecordView* view, Micros now);
  void publish(const ServerId& server, const DesiredState& desired, MembershipUpdate& update);
  void withdraw(const ServerId& server, Rule rule, MembershipUpdate& update);
  void takeRemovalStep(Micros now, MembershipUpdate& update);
  void leave(const std::string& address, Micros now, MembershipUpdate& update);
  void markChanged(const std::string& address) { changedAddresses_.insert(address); }
  // ---- explain.cpp ----
  Explanation explainServer(const ServerId& server, const std::string& address, const DesiredState& desired,
                            Micros now) const;

  const Settings settings_;
  KnownServers known_;
  PublishedList published_;
  const ListingRules rules_{settings_, known_, published_};
  /// Start of the cached servers, by address, until records drop them.
  std::map<std::string, Micros> cachedStarts_;

  /// To be evaluated at the next reconciliation.
  std::set<std::string> changedAddresses_;
  std::set<ServerId> changedRosterServers_;
  EvaluationSchedule schedule_;
  DepartureQueue departures_;
  /// Addresses listed by KeepLeast, evaluated at each reconciliation.
  std::set<std::string> lastReady_;
  /// Addresses held by FlapHeld, evaluated when too few servers are ready.
  std::set<std::string> flapHeld_;

  bool fullListRequested_ = true;
  /// The sources have confirmed the list: an update goes out even if nothing changed.
  bool updateOwed_ = false;
  std::int64_t version_ = 0;
  std::uint64_t rejectedServers_ = 0;
};

}  // namespace peargrade::membership
