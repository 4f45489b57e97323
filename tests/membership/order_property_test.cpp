// The final list does not depend on the order in which observations of one moment arrive.
#include <gtest/gtest.h>

#include <algorithm>

#include "property_fixture.h"

namespace peargrade::membership {
namespace {

enum class Reconcile { AfterEachObservation, OncePerTurn };

using Steps = std::vector<Step>;
/// Weight and start of each ready server.
using FinalList = std::map<ServerId, std::pair<double, Micros>>;

bool isRecords(const Step& step) {
  return step.kind == Step::Kind::Complete || step.kind == Step::Kind::Partial;
}

void applyObservation(SimulatedMembership& simulated, const Step& step) {
  if (step.kind == Step::Kind::RosterDelta) {
    simulated.membership.applyRoster(EndpointListKind::Delta, {rosterEntry(step.server, step.state)},
                                     simulated.now);
  } else if (isRecords(step)) {
    simulated.membership.applyRecords(observationOf(step, simulated.now), simulated.now);
  }
}

// A complete response with everything that the source listed in `steps`.
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

// The ready servers once every state that ends by itself has ended. `simultaneous` arrive at one moment.
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
  // The same complete responses follow in either order, as from a network that has recovered.
  for (int round = 0; round < 3; ++round) {
    for (std::size_t source = 0; source < 2; ++source) {
      simulated.now += kSecond;
      applyObservation(simulated, completeResponse(source, simultaneous));
      simulated.reconcile();
    }
  }
  simulated.advance(900 * kSecond - 1);
  FinalList found;
  for (const auto& [server, endpoint] : simulated.list) {
    if (endpoint.state == EndpointState::Ready) found[server] = {endpoint.weight, endpoint.startedAt};
  }
  return found;
}

Steps reversed(Steps steps) {
  std::reverse(steps.begin(), steps.end());
  return steps;
}

// Observations of one turn of the event loop are reconciled once: roster and records in any order.
TEST(OrderProperty, WithinATurnDoesNotMatter) {
  EXPECT_TRUE(rc::check("order within a turn", [] {
    const auto before = *rc::gen::container<Steps>(anyStep(Tiers::One));
    const auto generated = *rc::gen::container<Steps>(anyStep(Tiers::One));
    // Two roster entries of one server have an order of their own: the later one counts.
    std::set<int> inRoster;
    Steps simultaneous;
    for (const Step& step : generated) {
      if (step.kind == Step::Kind::RosterDelta && !inRoster.insert(step.server).second) continue;
      simultaneous.push_back(step);
    }
    RC_ASSERT(finalList(before, simultaneous, Reconcile::OncePerTurn) ==
              finalList(before, reversed(simultaneous), Reconcile::OncePerTurn));
  }));
}

// Responses requested at the same moment, which arrive one after the other.
TEST(OrderProperty, OfResponsesFromOneMomentDoesNotMatter) {
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
