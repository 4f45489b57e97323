#include "property_fixture.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace peargrade::membership {
namespace {

constexpr char kRapidCheckParameters[] = "seed=20261201 max_success=400 max_size=60";

// Generates the same cases in every run. RC_PARAMS in the environment overrides the seed.
[[maybe_unused]] const int kParametersSet = [] {
  setenv("RC_PARAMS", kRapidCheckParameters, 0);
  std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << '\n';
  return 0;
}();

std::set<int> serversFromBits(int bits) {
  std::set<int> servers;
  for (int k = 0; k < kServerCount; ++k) {
    if (contains(bits, k)) servers.insert(k);
  }
  return servers;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  const char* const names[] = {"roster-delta", "roster-full", "complete", "partial", "wait"};
  out << names[static_cast<int>(step.kind)] << " source=" << step.source << " server=" << step.server
      << " state=" << static_cast<int>(step.state) << " span=" << step.span << " priority=" << step.priority
      << " {";
  for (const int k : step.servers) out << ' ' << k;
  return out << " }";
}

rc::Gen<Step> anyStep(Tiers tiers) {
  using Kind = Step::Kind;
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind,
                   rc::gen::element(Kind::RosterDelta, Kind::RosterDelta, Kind::RosterFull, Kind::Complete,
                                    Kind::Complete, Kind::Partial, Kind::Wait, Kind::Wait)),
      rc::gen::set(&Step::source, rc::gen::inRange<std::size_t>(0, 2)),
      rc::gen::set(&Step::servers, rc::gen::map(rc::gen::inRange(0, 1 << kServerCount), serversFromBits)),
      rc::gen::set(&Step::server, rc::gen::inRange(0, kServerCount)),
      rc::gen::set(&Step::state,
                   rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Removed)),
      rc::gen::set(&Step::span,
                   rc::gen::map(rc::gen::inRange(1, 100), [](int seconds) { return seconds * kSecond; })),
      rc::gen::set(&Step::priority, tiers == Tiers::Several ? rc::gen::element(0, 0, 20) : rc::gen::just(0)));
}

Observation makeObservation(const Step& step, Micros now) {
  const bool complete = step.kind == Step::Kind::Complete;
  Observation observation;
  observation.kind = complete ? Observation::Kind::Complete : Observation::Kind::Partial;
  observation.source = step.source;
  observation.asOf = now;
  for (const int k : step.servers) {
    ServiceRecord record;
    record.address = socketAddress(k);
    record.target = "b" + std::to_string(k);
    record.weight = 10;
    record.priority = k % 2 == 1 ? step.priority : 0;
    record.expiresAt = now + step.span;
    observation.records.push_back(record);
  }
  return observation;
}

SimulatedMembership::SimulatedMembership(const Settings& settings, const std::vector<bool>& authority)
    : membership(settings, authority, true, {}, now) {
  membership.applyRoster(EndpointListKind::Full, {}, now);
  takeUpdate();
}

void SimulatedMembership::advance(Micros span) {
  const Micros end = now + span;
  for (auto due = membership.nextReconcile(); due && *due <= end; due = membership.nextReconcile()) {
    now = std::max(now, *due);
    reconcile();
  }
  now = end;
}

bool SimulatedMembership::isReady(const ServerId& server) const {
  const auto found = list.find(server);
  return found != list.end() && found->second.state == EndpointState::Ready;
}

bool SimulatedMembership::isDraining(const ServerId& server) const {
  const auto found = list.find(server);
  return found != list.end() && found->second.state == EndpointState::Draining;
}

void SimulatedMembership::checkExplanations() const {
  std::size_t listed = 0;
  for (const Explanation& explanation : membership.explain(now)) {
    if (!explanation.listed) continue;
    ++listed;
    RC_ASSERT(isListed(explanation.server));
    RC_ASSERT(list.at(explanation.server).state == explanation.state);
  }
  RC_ASSERT(listed == list.size());
}

void SimulatedMembership::checkSchedule() const {
  const auto due = membership.nextReconcile();
  for (const Explanation& explanation : membership.explain(now)) {
    if (explanation.until > now) RC_ASSERT(due.has_value() && *due <= explanation.until);
  }
}

std::optional<MembershipUpdate> SimulatedMembership::takeUpdate() {
  std::optional<MembershipUpdate> update = membership.reconcile(now);
  if (update) applyUpdate(*update, list);
  return update;
}

}  // namespace peargrade::membership
