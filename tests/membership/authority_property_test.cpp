// Random interleavings of a zone with authority, a roster and records without authority: a server that the
// zone drains is never published as ready.
#include <gtest/gtest.h>

#include "property_fixture.h"

namespace peargrade::membership {
namespace {

constexpr std::size_t kZoneSource = 0;
constexpr std::size_t kRecordSource = 1;

struct ZoneStep {
  enum class Kind { Zone, Records, Roster, Wait };

  Kind kind = Kind::Wait;
  /// Bit sets of servers: listed, drained, and listed with a new start.
  int servers = 0;
  int drained = 0;
  int started = 0;
  /// Server of a roster step.
  int server = 0;
  EndpointState state = EndpointState::Ready;
  /// Whether the roster step states a start at the current time.
  bool restarts = false;
  Micros span = 0;
};

std::ostream& operator<<(std::ostream& out, const ZoneStep& step) {
  const char* const names[] = {"zone", "records", "roster", "wait"};
  return out << names[static_cast<int>(step.kind)] << " servers=" << step.servers
             << " drained=" << step.drained << " started=" << step.started << " server=" << step.server
             << " state=" << static_cast<int>(step.state) << " restarts=" << step.restarts
             << " span=" << step.span;
}

rc::Gen<ZoneStep> anyZoneStep() {
  using Kind = ZoneStep::Kind;
  return rc::gen::build<ZoneStep>(
      rc::gen::set(&ZoneStep::kind,
                   rc::gen::element(Kind::Zone, Kind::Zone, Kind::Records, Kind::Roster, Kind::Wait)),
      rc::gen::set(&ZoneStep::servers, rc::gen::inRange(0, 1 << kServerCount)),
      rc::gen::set(&ZoneStep::drained, rc::gen::inRange(0, 1 << kServerCount)),
      rc::gen::set(&ZoneStep::started, rc::gen::inRange(0, 1 << kServerCount)),
      rc::gen::set(&ZoneStep::server, rc::gen::inRange(0, kServerCount)),
      rc::gen::set(&ZoneStep::state,
                   rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Removed)),
      rc::gen::set(&ZoneStep::restarts, rc::gen::element(true, false)),
      rc::gen::set(&ZoneStep::span,
                   rc::gen::map(rc::gen::inRange(1, 100), [](int seconds) { return seconds * kSecond; })));
}

/// Tracks which servers the zone drains. Drops a drain at the first indication of a restart, so that each
/// tracked drain must still be in force.
class DrainChecker : public SimulatedMembership {
 public:
  DrainChecker() : SimulatedMembership(Settings{}, {true, false}) {}

  void applyStep(const ZoneStep& step) {
    now += kSecond;
    reconcile();
    switch (step.kind) {
      case ZoneStep::Kind::Zone:
        recordZoneResponse(step);
        membership.applyRecords(makeObservation(step), now);
        break;
      case ZoneStep::Kind::Records:
        membership.applyRecords(makeObservation(step), now);
        break;
      case ZoneStep::Kind::Roster:
        if (step.restarts) rosterStart_[step.server] = now;
        membership.applyRoster(EndpointListKind::Delta,
                               {rosterEntry(step.server, step.state, rosterStart_[step.server])}, now);
        break;
      case ZoneStep::Kind::Wait:
        advance(step.span);
        break;
    }
    reconcile();
  }

  void reconcile() override {
    takeUpdate();
    for (const auto& [k, since] : drainedSince_) {
      RC_ASSERT(!isReady(socketAddress(k)));
      if (rosterStart_[k] <= since) RC_ASSERT(!isReady(rosterId(k)));
    }
    for (int k = 0; k < kServerCount; ++k) RC_ASSERT(!isListed(socketAddress(k)) || !isListed(rosterId(k)));
    RC_ASSERT(membership.readyCount() == readyCount());
    checkSchedule();
  }

 private:
  Observation makeObservation(const ZoneStep& step) const {
    const bool isZone = step.kind == ZoneStep::Kind::Zone;
    Observation observation;
    observation.kind = Observation::Kind::Complete;
    observation.source = isZone ? kZoneSource : kRecordSource;
    observation.asOf = now;
    for (int k = 0; k < kServerCount; ++k) {
      if (!contains(step.servers, k)) continue;
      ServiceRecord record;
      record.address = socketAddress(k);
      record.target = "b" + std::to_string(k);
      record.weight = 10;
      record.expiresAt = now + 1000 * kSecond;
      record.state = contains(step.drained, k) ? EndpointState::Draining : EndpointState::Ready;
      record.startedAt = isZone && contains(step.started, k) ? now : 0;
      observation.records.push_back(record);
    }
    return observation;
  }

  void recordZoneResponse(const ZoneStep& step) {
    for (int k = 0; k < kServerCount; ++k) {
      const bool restarted = contains(step.started, k) || !contains(inZone_, k);
      const bool removed = !contains(step.servers, k);  // a removed server is not drained
      if (!removed && contains(step.drained, k))
        drainedSince_.emplace(k, now);
      else if (removed || restarted)
        drainedSince_.erase(k);
    }
    inZone_ = step.servers;
  }

  std::map<int, Micros> drainedSince_;
  std::map<int, Micros> rosterStart_;
  int inZone_ = 0;  // bit set of the servers in the zone's last response
};

TEST(AuthorityProperty, ServerDrainedByTheZoneIsNeverReady) {
  EXPECT_TRUE(rc::check("zone with authority", [] {
    const auto steps = *rc::gen::container<std::vector<ZoneStep>>(anyZoneStep());
    DrainChecker checker;
    for (const ZoneStep& step : steps) checker.applyStep(step);
  }));
}

}  // namespace
}  // namespace peargrade::membership
