// The final list does not depend on the order in which observations of the same time arrive.
#include <gtest/gtest.h>

#include <algorithm>

#include "property_fixture.h"

namespace peargrade::membership {
namespace {

enum class Reconcile { AfterEachObservation, OncePerLoopIteration };

using Steps = std::vector<Step>;
/// Weight and start time of each ready server.
using FinalList = std::map<ServerId, std::pair<double, Micros>>;

bool isRecords(const Step& step) {
  return step.kind == Step::Kind::Complete || step.kind == Step::Kind::Partial;
}

void applyObservation(SimulatedMembership& simulated, const Step& step) {
  if (step.kind == Step::Kind::RosterDelta) {
    simulated.membership.applyRoster(EndpointListKind::Delta, {rosterEntry(step.server, step.state)},
                                     simulated.now);
  } else if (isRecords(step)) {
    simulated.membership.applyRecords(makeObservation(step, simulated.now), simulated.now);
  }
}

// A complete response with all servers that the source listed in `steps`.
Step completeResponse(std::size_t source, const Steps& steps) {
  Step response;
  response.kind = Step::Kind::Complete;
  response.source = source;
  response.span = 1000 * kSecond;
  for (const Step& step : steps) {
    if (isRecords(step) && step.source == source)
      response.servers.insert(step.servers.begin(), step.servers.end());
  }
  return response;
}

// Applies `before` one second apart and `simultaneous` at one time, then lets all temporary states expire.
// Returns the ready servers.
FinalList finalList(const Steps& before, const Steps& simultaneous, Reconcile reconcile) {
  SimulatedMembership simulated(Settings{}, {false, false});
  for (const Step& step : before) {
    simulated.now += kSecond;
    applyObservation(simulated, step);
    simulated.reconcile();
  }
  simulated.now += kSecond;
  for (const Step& step : simultaneous) {
    applyObservation(simulated, step);
    if (reconcile == Reconcile::AfterEachObservation) simulated.reconcile();
  }
  simulated.reconcile();
  // The same complete responses follow for every order of `simultaneous`, as after a network recovers.
  for (int round = 0; round < 3; ++round) {
    for (std::size_t source = 0; source < 2; ++source) {
      simulated.now += kSecond;
      applyObservation(simulated, completeResponse(source, simultaneous));
      simulated.reconcile();
    }
  }
  simulated.advance(900 * kSecond - 1);
  FinalList ready;
  for (const auto& [server, endpoint] : simulated.list) {
    if (endpoint.state == EndpointState::Ready) ready[server] = {endpoint.weight, endpoint.startedAt};
  }
  return ready;
}

Steps reversed(Steps steps) {
  std::reverse(steps.begin(), steps.end());
  return steps;
}

// Roster and records of one event loop iteration are reconciled once, after the last of them.
TEST(OrderProperty, WithinALoopIterationDoesNotMatter) {
  EXPECT_TRUE(rc::check("order within a turn", [] {
    const auto before = *rc::gen::container<Steps>(anyStep(Tiers::One));
    const auto generated = *rc::gen::container<Steps>(anyStep(Tiers::One));
    // Two roster entries of one server are order-dependent: the later one applies. Keep only the first.
    std::set<int> inRoster;
    Steps simultaneous;
    for (const Step& step : generated) {
      if (step.kind == Step::Kind::RosterDelta && !inRoster.insert(step.server).second) continue;
      simultaneous.push_back(step);
    }
    RC_ASSERT(finalList(before, simultaneous, Reconcile::OncePerLoopIteration) ==
              finalList(before, reversed(simultaneous), Reconcile::OncePerLoopIteration));
  }));
}

// Responses requested at the same time that arrive one after the other.
TEST(OrderProperty, OfResponsesRequestedAtTheSameTimeDoesNotMatter) {
  EXPECT_TRUE(rc::check("order of answers", [] {
    const auto before = *rc::gen::container<Steps>(anyStep(Tiers::One));
    Steps simultaneous;
    for (const Step& step : *rc::gen::container<Steps>(anyStep(Tiers::One))) {
      if (isRecords(step)) simultaneous.push_back(step);
    }
    RC_ASSERT(finalList(before, simultaneous, Reconcile::AfterEachObservation) ==
              finalList(before, reversed(simultaneous), Reconcile::AfterEachObservation));
  }));
}

}  // namespace
}  // namespace peargrade::membership
