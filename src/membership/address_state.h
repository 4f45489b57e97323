/// What is known of one socket address: by each source of records, and by the authorities over it.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "membership/observation.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// What one source of records reports of one address. Times are those of the observations (`asOf`) unless a
/// comment says otherwise; 0 means never.
struct RecordView {
  enum class Presence {
    Absent,       // not listed yet, or removed
    Listed,       // by the source's last observation of it
    Unconfirmed,  // a complete response left it out; a second one or the deadline removes it
  };

  explicit RecordView(std::size_t source) : source(source) {}

  bool isPresent() const { return presence != Presence::Absent; }
  bool isUnconfirmed() const { return presence == Presence::Unconfirmed; }
  bool hasExpired(Micros now) const { return record.expiresAt <= now; }

  /// The source lists it. `completeBefore`: the source's last complete response from before `asOf`.
  void refresh(const ServiceRecord& listed, Micros asOf, Micros completeBefore);
  /// A complete response left it out; that takes effect at `deadline` (by the clock) without a second one.
  void awaitConfirmation(Micros asOf, Micros deadline);
  void remove(Micros asOf);

  const std::size_t source;
  Presence presence = Presence::Absent;
  Micros lastListed = 0;
  /// First observation that listed it since it was absent.
  Micros appearedAt = 0;
  /// Last complete response without it, before it appeared.
  Micros absentAt = 0;
  /// Observation that left it out or removed it; 0 while it is listed.
  Micros leftOutAt = 0;
  /// While unconfirmed, by the clock.
  Micros confirmationDeadline = 0;
  /// As last listed.
  ServiceRecord record;
};

/// Removal of an address by a source with authority. In force until the server is seen to have restarted.
struct Removal {
  enum class By { Nobody, Roster, Records };

  bool happened() const { return by != By::Nobody; }
  bool isInForce() const { return happened() && !restarted; }

  By by = By::Nobody;
  Micros at = 0;
  /// It was listed again after a restart.
  bool restarted = false;
};

/// One socket address. Written by Membership only.
struct AddressState {
  explicit AddressState(std::size_t sources);

  /// Whether any source of records lists it.
  bool isPresent() const;
  /// When records first listed it after the removal, if a complete response in between was without it; 0:
  /// never.
  Micros restartedAt() const;
  /// Whether records with authority drain the server that started then.
  bool drains(Micros startedAt) const;

  /// By source.
  std::vector<RecordView> views;
  /// Servers of the roster at this address.
  std::set<ServerId> rosterServers;

  Removal removal;
  /// When records with authority drained it; 0: they do not.
  Micros drainedAt = 0;
  /// Start of the server that only records list.
  Micros startedAt = 0;
  /// Observation by which the last source dropped it; 0: it never was absent.
  Micros absentSince = 0;
  /// When an absent address is forgotten, by the clock; 0: not set.
  Micros forgetAt = 0;
  /// Published as draining because its tier is no longer needed.
  bool drainedByTier = false;
  /// When it was listed again after an absence, within the flap window.
  std::vector<Micros> returns;
  /// Its place in the EvaluationSchedule; 0: none.
  Micros evaluateAt = 0;
};

}  // namespace peargrade::membership
