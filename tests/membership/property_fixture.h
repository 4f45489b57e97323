/// Generators of random observations for property tests of the membership, and a simulated membership whose
/// list the tests check.
#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <optional>
#include <ostream>
#include <set>
#include <vector>

#include "membership_fixture.h"

namespace peargrade::membership {

inline constexpr int kServerCount = 8;

/// Whether the bit set `servers` contains server `k`, which is bit `k`.
inline bool contains(int servers, int k) { return (servers >> k & 1) != 0; }

/// One observation, or a wait without one.
struct Step {
  enum class Kind { RosterDelta, RosterFull, Complete, Partial, Wait };

  Kind kind = Kind::Wait;
  std::size_t source = 0;
  std::set<int> servers;
  /// Server of a roster delta.
  int server = 0;
  EndpointState state = EndpointState::Ready;
  /// Duration of a wait, or lifetime of a record.
  Micros span = 0;
  /// Priority of servers with an odd number.
  int priority = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

/// Number of priorities among the generated records.
enum class Tiers { One, Several };
rc::Gen<Step> anyStep(Tiers tiers);

/// The observation that a Complete or Partial step describes.
Observation makeObservation(const Step& step, Micros now);

/// A Membership with an initially empty roster, its clock, and the list that results from its updates.
class SimulatedMembership {
 public:
  SimulatedMembership(const Settings& settings, const std::vector<bool>& authority);
  virtual ~SimulatedMembership() = default;
  SimulatedMembership(const SimulatedMembership&) = delete;
  SimulatedMembership& operator=(const SimulatedMembership&) = delete;

  /// Applies the pending update to `list`.
  virtual void reconcile() { takeUpdate(); }
  /// Advances the clock by `span` and reconciles at each due time.
  void advance(Micros span);

  std::size_t readyCount() const { return readyServersIn(list).size(); }
  bool isListed(const ServerId& server) const { return list.count(server) != 0; }
  bool isReady(const ServerId& server) const;
  bool isDraining(const ServerId& server) const;
  /// Checks that the explanations agree with the published list.
  void checkExplanations() const;
  /// Checks that a reconciliation is scheduled no later than the end of every explained state.
  void checkSchedule() const;

  Micros now = 1000 * kSecond;
  Membership membership;
  ServerList list;

 protected:
  std::optional<MembershipUpdate> takeUpdate();
};

}  // namespace peargrade::membership
