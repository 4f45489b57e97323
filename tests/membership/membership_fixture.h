/// Fixture with a Membership, a clock that the test advances, and the list as published to the decision
/// module.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace peargrade::membership {

inline constexpr Micros kSecond = 1000000;

/// Socket address of server `k`.
inline std::string socketAddress(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }
/// Roster ID of server `k`.
inline ServerId rosterId(int k) { return "s-" + std::to_string(k); }

inline RosterEntry rosterEntry(int k, EndpointState state = EndpointState::Ready, Micros startedAt = 0) {
  RosterEntry entry;
  entry.endpoint.server = rosterId(k);
  entry.endpoint.state = state;
  entry.endpoint.startedAt = startedAt;
  entry.address = socketAddress(k);
  return entry;
}

/// The list that results from applying the published updates.
using ServerList = std::map<ServerId, Endpoint>;

inline void applyUpdate(const MembershipUpdate& update, ServerList& list) {
  if (update.list.kind == EndpointListKind::Full) list.clear();
  for (const Endpoint& endpoint : update.list.endpoints) {
    if (endpoint.state == EndpointState::Removed)
      list.erase(endpoint.server);
    else
      list[endpoint.server] = endpoint;
  }
}

inline std::set<ServerId> readyServersIn(const ServerList& list) {
  std::set<ServerId> ready;
  for (const auto& [server, endpoint] : list) {
    if (endpoint.state == EndpointState::Ready) ready.insert(server);
  }
  return ready;
}

class MembershipTest : public testing::Test {
 protected:
  void start(bool hasRoster, const std::vector<RosterEntry>& cached = {},
             const std::vector<bool>& authority = {false}) {
    membership = std::make_unique<Membership>(settings, authority, hasRoster, cached, now);
    for (const RosterEntry& entry : cached) list[entry.endpoint.server] = entry.endpoint;
  }
  /// Applies the update to `list`. Returns whether there was one.
  bool reconcile() {
    lastDecisions.clear();
    const auto update = membership->reconcile(now);
    if (!update) return false;
    lastDecisions = update->decisions;
    applyUpdate(*update, list);
    return true;
  }
  /// Advances the clock by `span` and reconciles at each due time.
  void advance(Micros span) {
    const Micros end = now + span;
    for (auto due = membership->nextReconcile(); due && *due <= end; due = membership->nextReconcile()) {
      now = std::max(now, *due);
      reconcile();
    }
    now = end;
    reconcile();
  }
  /// An observation of source 0 that lists `servers`.
  Observation response(const std::vector<int>& servers, Micros lifetime = 60 * kSecond,
                       Observation::Kind kind = Observation::Kind::Complete) const {
    Observation observation;
    observation.kind = kind;
    observation.asOf = now;
    for (const int k : servers) {
      ServiceRecord record;
      record.address = socketAddress(k);
      record.target = "bello-" + std::to_string(k) + ".example.org";
      record.weight = 10;
      record.expiresAt = now + lifetime;
      observation.records.push_back(record);
    }
    return observation;
  }
  void applyComplete(const std::vector<int>& servers, Micros lifetime = 60 * kSecond) {
    membership->applyRecords(response(servers, lifetime), now);
    reconcile();
  }
  void applyPartial(const std::vector<int>& servers, Micros lifetime = 60 * kSecond) {
    membership->applyRecords(response(servers, lifetime, Observation::Kind::Partial), now);
    reconcile();
  }
  void applyRoster(EndpointListKind kind, const std::vector<RosterEntry>& entries) {
    membership->applyRoster(kind, entries, now);
    reconcile();
  }
  std::set<ServerId> readyServers() const { return readyServersIn(list); }
  Rule explainedRule(const ServerId& server) const {
    for (const Explanation& explanation : membership->explain(now)) {
      if (explanation.server == server) return explanation.rule;
    }
    ADD_FAILURE() << server << " is not explained";
    return Rule::Roster;
  }
  /// The numbers from `from` to `end` - 1.
  static std::vector<int> range(int end, int from = 0) {
    std::vector<int> all;
    for (int k = from; k < end; ++k) all.push_back(k);
    return all;
  }

  Settings settings;
  Micros now = 1000 * kSecond;
  std::unique_ptr<Membership> membership;
  ServerList list;
  std::vector<Decision> lastDecisions;
};

}  // namespace peargrade::membership
