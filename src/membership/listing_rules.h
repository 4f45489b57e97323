/// Rules of docs/membership.md: compute the desired state of a server in the list from the reported state.
#pragma once

#include <optional>
#include <string>

#include "membership/known_servers.h"
#include "membership/published_list.h"
#include "membership/rule.h"
#include "membership/settings.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// State that a server should have in the list.
struct DesiredState {
  bool listed = false;
  Endpoint endpoint;
  Rule rule = Rule::Records;
  /// When the state next changes without an observation, in microseconds; 0: it does not.
  Micros until = 0;
};

/// Evaluates the rules without modifying any state. Times are in microseconds.
class ListingRules {
 public:
  /// All three arguments must outlive the object.
  ListingRules(const Settings& settings, const KnownServers& known, const PublishedList& published)
      : settings_(settings), known_(known), published_(published) {}

  /// Desired state of a server that the roster lists.
  DesiredState desiredByRoster(const ServerId& server, const RosterEntry& entry, Micros now) const;
  /// Desired state of the server that only records list at `address`. Not listed if the roster lists a server
  /// at that address.
  DesiredState desiredByRecords(const std::string& address, const AddressState& state, Micros now) const;

  /// The view whose record determines the published values. Unexpired and confirmed views rank first, then
  /// lower priority numbers, higher weight and later expiry. nullptr if no source lists the address.
  const RecordView* bestView(const AddressState& state, Micros now) const;
  /// Whether the tier of the view's record is in use.
  bool isTierInUse(const RecordView& view) const;
  /// Whether the server counts as usable in its tier: no source with authority has drained or removed it.
  bool isUsable(const AddressState& state) const;
  /// Whether the record is past the stale retention, or unconfirmed past the deadline.
  bool isOverdue(const RecordView& view, Micros now) const;
  /// Whether the address must wait for a removal step to leave the list. `desired`: its result of
  /// desiredByRecords().
  bool awaitsRemovalStep(const AddressState& state, const DesiredState& desired, Micros now) const;

 private:
  /// Reason and end of a delay before a server is listed.
  struct Hold {
    Rule rule;
    Micros until;
  };

  void applyTier(const AddressState& state, const RecordView& view, bool published,
                 DesiredState& desired) const;
  void applyLifetime(const AddressState& state, const RecordView& view, Micros now,
                     DesiredState& desired) const;
  std::optional<Hold> findHold(const AddressState& state, Micros now) const;
  double relativeWeight(const RecordView& view) const;

  const Settings& settings_;
  const KnownServers& known_;
  const PublishedList& published_;
};

}  // namespace peargrade::membership
