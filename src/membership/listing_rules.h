/// The rules of docs/membership.md: how a server should stand in the list, by all that is known of it.
#pragma once

#include <optional>
#include <string>

#include "membership/known_servers.h"
#include "membership/published_list.h"
#include "membership/rule.h"
#include "membership/settings.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// How a server should stand in the list.
struct DesiredState {
  bool listed = false;
  Endpoint endpoint;
  Rule rule = Rule::Records;
  /// When it changes by itself, in microseconds; 0: only by an observation.
  Micros until = 0;
};

/// Reads what is known and what is published, and changes neither. Times in microseconds.
class ListingRules {
 public:
  /// All three outlive it.
  ListingRules(const Settings& settings, const KnownServers& known, const PublishedList& published)
      : settings_(settings), known_(known), published_(published) {}

  /// Of a server that the roster lists.
  DesiredState byRoster(const ServerId& server, const RosterEntry& entry, Micros now) const;
  /// Of the server at an address under which the roster lists none.
  DesiredState byRecords(const std::string& address, const AddressState& state, Micros now) const;

  /// The view whose record counts: unexpired and confirmed first, then by priority, weight and lifetime.
  /// nullptr if no source lists the address.
  const RecordView* bestView(const AddressState& state, Micros now) const;
  bool isTierInUse(const RecordView& view) const;
  /// Whether its tier counts the server as usable: neither drained nor removed by an authority.
  bool isUsable(const AddressState& state) const;
  /// Past the stale retention, or unconfirmed past the deadline.
  bool isOverdue(const RecordView& view, Micros now) const;
  /// Whether the address leaves in a removal step. `desired`: its state by records.
  bool awaitsRemovalStep(const AddressState& state, const DesiredState& desired, Micros now) const;

 private:
  struct Hold {
    Rule rule;
    Micros until;
  };

  void applyTier(const AddressState& state, const RecordView& view, bool published,
                 DesiredState& desired) const;
  void applyLifetime(const AddressState& state, const RecordView& view, Micros now,
                     DesiredState& desired) const;
  std::optional<Hold> holdBack(const AddressState& state, Micros now) const;
  double weightOf(const RecordView& view) const;

  const Settings& settings_;
  const KnownServers& known_;
  const PublishedList& published_;
};

}  // namespace peargrade::membership
