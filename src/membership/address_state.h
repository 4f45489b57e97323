/// State of one socket address: what each source of records reports, and drains and removals by
/// sources with authority.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "membership/observation.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// What one source of records reports about one address. Times are those of the observations (`asOf`) unless
/// a comment names the clock; 0 means never.
struct RecordView {
  enum class Presence {
    Absent,       // not listed yet, or removed
    Listed,       // listed by the source's last response that covers it
    Unconfirmed,  // left out by a complete response; a second one or the deadline removes it
  };

  explicit RecordView(std::size_t source) : source(source) {}

  bool isPresent() const { return presence != Presence::Absent; }
  bool isUnconfirmed() const { return presence == Presence::Unconfirmed; }
  bool hasExpired(Micros now) const { return record.expiresAt <= now; }

  /// Records that the source listed the address. `completeBefore`: time of the source's last complete
  /// response before `asOf`; 0 if there is none.
  void refresh(const ServiceRecord& listed, Micros asOf, Micros completeBefore);
  /// Records that a complete response left out the address. Without a second response the removal may begin
  /// at `deadline` (clock).
  void awaitConfirmation(Micros asOf, Micros deadline);
  /// Records the removal of the address by the observation at `asOf`.
  void remove(Micros asOf);

  const std::size_t source;
  Presence presence = Presence::Absent;
  /// Last observation that listed the address.
  Micros lastListed = 0;
  /// First observation that listed the address after it was absent.
  Micros appearedAt = 0;
  /// Last complete response without the address, before `appearedAt`.
  Micros absentAt = 0;
  /// Observation that left out or removed the address; 0 while it is listed.
  Micros leftOutAt = 0;
  /// When an unconfirmed removal may begin (clock); 0 unless unconfirmed.
  Micros confirmationDeadline = 0;
  /// The record as last listed.
  ServiceRecord record;
};

/// Removal of an address by a source with authority. In force until a restart of the server is observed.
struct Removal {
  enum class By { None, Roster, Records };

  bool happened() const { return by != By::None; }
  bool isInForce() const { return happened() && !restarted; }

  /// Source that removed the address.
  By by = By::None;
  Micros at = 0;
  /// Whether the server was listed again after a restart.
  bool restarted = false;
};

/// State of one socket address. Only Membership modifies it.
struct AddressState {
  explicit AddressState(std::size_t sources);

  /// Whether any source of records lists the address.
  bool isPresent() const;
  /// When records first listed the address after the removal. Requires a complete response in between that
  /// did not list it; 0 if there is none.
  Micros restartedAt() const;
  /// Whether the drain by records with authority applies to a server process that started at `startedAt`.
  bool drainAppliesTo(Micros startedAt) const;

  /// One view per source of records.
  std::vector<RecordView> views;
  /// Roster servers at this address.
  std::set<ServerId> rosterServers;

  Removal removal;
  /// When records with authority drained the server; 0: not drained.
  Micros drainedAt = 0;
  /// Start of the server, if only records list it.
  Micros startedAt = 0;
  /// Last observation after which no source of records listed the address; 0: it was never absent.
  Micros absentSince = 0;
  /// When an absent address is deleted (clock); 0: not set.
  Micros forgetAt = 0;
  /// Whether the server is published as draining because its tier is no longer needed.
  bool drainedByTier = false;
  /// Times within the flap window at which the server was listed again after an absence (clock).
  std::vector<Micros> returnTimes;
  /// When EvaluationSchedule evaluates the address (clock); 0: not scheduled.
  Micros evaluateAt = 0;
};

}  // namespace peargrade::membership
