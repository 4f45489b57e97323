// Random interleavings with a zone that has authority, beside a roster and plain records: nothing is sent to
// a server that the zone drains.
#include <gtest/gtest.h>

#include "property_fixture.h"

namespace peargrade::membership {
namespace {

constexpr std::size_t kZoneSource = 0;
constexpr std::size_t kRecordSource = 1;

struct ZoneStep {
  enum class Kind { Zone, Records, Roster, Wait };

  Kind kind = Kind::Wait;
  int servers = 0;  // sets of bits
  int drained = 0;
  int started = 0;
  int server = 0;  // of a roster step
  EndpointState state = EndpointState::Ready;
  bool restarts = false;  // the roster says that it started now
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
      rc::gen::set(&ZoneStep::servers, rc::gen::inRange(0, 1 << kServers)),
      rc::gen::set(&ZoneStep::drained, rc::gen::inRange(0, 1 << kServers)),
      rc::gen::set(&ZoneStep::started, rc::gen::inRange(0, 1 << kServers)),
      rc::gen::set(&ZoneStep::server, rc::gen::inRange(0, kServers)),
      rc::gen::set(&ZoneStep::state,
                   rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Removed)),
      rc::gen::set(&ZoneStep::restarts, rc::gen::element(true, false)),
      rc::gen::set(&ZoneStep::span,
                   rc::gen::map(rc::gen::inRange(1, 100), [](int seconds) { return seconds * kSecond; })));
}

/// Remembers which servers the zone drains. A drain is forgotten at the first sign of a new start, so that
/// what is still remembered has to hold.
class DrainChecker : public SimulatedMembership {
 public:
  DrainChecker() : SimulatedMembership(Settings{}, {true, false}) {}

  void applyStep(const ZoneStep& step) {
    now += kSecond;
    reconcile();
    switch (step.kind) {
      case ZoneStep::Kind::Zone:
        noteZone(step);
        membership.applyRecords(observationOf(step), now);
        break;
      case ZoneStep::Kind::Records:
        membership.applyRecords(observationOf(step), now);
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
      RC_ASSERT(!isReady(addressOf(k)));
      if (rosterStart_[k] <= since) RC_ASSERT(!isReady(rosterId(k)));
    }
    for (int k = 0; k < kServers; ++k) RC_ASSERT(!isListed(addressOf(k)) || !isListed(rosterId(k)));
    RC_ASSERT(membership.readyCount() == readyCount());
    checkSchedule();
  }

 private:
  Observation observationOf(const ZoneStep& step) const {
    const bool isZone = step.kind == ZoneStep::Kind::Zone;
    Observation observation;
    observation.kind = Observation::Kind::Complete;
    observation.source = isZone ? kZoneSource : kRecordSource;
    observation.asOf = now;
    for (int k = 0; k < kServers; ++k) {
      if (!contains(step.servers, k)) continue;
      ServiceRecord record;
      record.address = addressOf(k);
      record.target = "b" + std::to_string(k);
      record.weight = 10;
      record.expiresAt = now + 1000 * kSecond;
      record.state = contains(step.drained, k) ? EndpointState::Draining : EndpointState::Ready;
      record.startedAt = isZone && contains(step.started, k) ? now : 0;
      observation.records.push_back(record);
    }
    return observation;
  }

  void noteZone(const ZoneStep& step) {
    for (int k = 0; k < kServers; ++k) {
      const bool restarted = contains(step.started, k) || !contains(inZone_, k);
      const bool removed = !contains(step.servers, k);  // not drained
      if (!removed && contains(step.drained, k))
        drainedSince_.emplace(k, now);
      else if (removed || restarted)
        drainedSince_.erase(k);
    }
    inZone_ = step.servers;
  }

  std::map<int, Micros> drainedSince_;
  std::map<int, Micros> rosterStart_;
  int inZone_ = 0;  // servers of the zone's last response
};

TEST(AuthorityProperty, NothingIsSentToAServerThatTheZoneDrains) {
  EXPECT_TRUE(rc::check("zone with authority", [] {
    const auto steps = *rc::gen::container<std::vector<ZoneStep>>(anyZoneStep());
    DrainChecker checker;
    for (const ZoneStep& step : steps) checker.applyStep(step);
  }));
}

}  // namespace
}  // namespace peargrade::membership
