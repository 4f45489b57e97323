/// Random observations for property tests of the membership, and a checker that keeps a view of its own,
/// simpler than the code's.
#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <optional>
#include <ostream>
#include <set>
#include <vector>

#include "membership_fixture.h"

namespace peargrade::membership {

inline constexpr int kServers = 8;

/// Set of servers as bits, server `k` in bit `k`.
inline bool contains(int servers, int k) { return (servers >> k & 1) != 0; }

/// One observation, or a span of time without one.
struct Step {
  enum class Kind { RosterDelta, RosterFull, Complete, Partial, Wait };

  Kind kind = Kind::Wait;
  std::size_t source = 0;
  std::set<int> servers;
  int server = 0;  // of a roster delta
  EndpointState state = EndpointState::Ready;
  Micros span = 0;   // of a wait, or a record's lifetime
  int priority = 0;  // of the odd servers
};

std::ostream& operator<<(std::ostream& out, const Step& step);

enum class Tiers { One, Several };
rc::Gen<Step> anyStep(Tiers tiers);

/// The observation of a Complete or Partial step.
Observation observationOf(const Step& step, Micros now);

/// A Membership with a roster, which is empty at first, on a clock of its own, and the list as its reader has
/// it.
class SimulatedMembership {
 public:
  SimulatedMembership(const Settings& settings, const std::vector<bool>& authority);
  virtual ~SimulatedMembership() = default;
  SimulatedMembership(const SimulatedMembership&) = delete;
  SimulatedMembership& operator=(const SimulatedMembership&) = delete;

  /// Takes over what has changed.
  virtual void reconcile() { takeUpdate(); }
  /// Moves the clock, and reconciles whenever it is due.
  void advance(Micros span);

  std::size_t readyCount() const { return readyIn(list).size(); }
  bool isListed(const ServerId& server) const { return list.count(server) != 0; }
  bool isReady(const ServerId& server) const;
  bool isDraining(const ServerId& server) const;
  /// What is explained is what was published.
  void checkExplanations() const;
  /// Every state that ends by itself is reconciled by then.
  void checkSchedule() const;

  Micros now = 1000 * kSecond;
  Membership membership;
  ServerList list;

 protected:
  std::optional<MembershipUpdate> takeUpdate();
};

}  // namespace peargrade::membership
