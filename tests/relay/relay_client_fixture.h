// Fixture: a relay client on an event loop with a fake relay, and a stand-in for the engine that sends an
// update again until it is accepted.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "fakes/relay.h"
#include "relay/relay_client.h"
#include "support/loop.h"

namespace peargrade::relay {

using Fault = fakes::Relay::Fault;

struct RelayClientTest : testing::Test {
  Loop loop;
  ReadLog log;
  discovery::Names names = testNames();
  dispatch::Dispatcher dispatcher;
  Seen seen;
  std::size_t eventIterations = 0;  // loop iterations that produced events
  fakes::Relay fakeRelay{loop.base.get()};
  std::unique_ptr<RelayClient> relay;
  std::vector<Action> unacceptedActions;  // actions dispatched and not accepted yet
  std::size_t handledDeliveries = 0;
  std::size_t incompleteDeliveries = 0;  // deliveries that were reported as incomplete

  void update(const std::vector<Action>& actions) {
    unacceptedActions.insert(unacceptedActions.end(), actions.begin(), actions.end());
    dispatcher.dispatch(unacceptedActions);
  }
  void handleDeliveries() {
    for (; handledDeliveries < seen.all<UpdateDelivery>().size(); ++handledDeliveries) {
      if (seen.all<UpdateDelivery>()[handledDeliveries].outcome == DeliveryOutcome::Accepted) {
        unacceptedActions.clear();
      } else {
        ++incompleteDeliveries;
        dispatcher.dispatch(std::vector<Action>(unacceptedActions));
      }
    }
  }
  // Number of events other than deliveries, AcknowledgementsMissed, which every new watch but the first
  // posts, and StoredRoutesComplete, which the first heartbeat after a slice posts.
  std::size_t otherEvents() {
    return seen.events.size() - seen.all<UpdateDelivery>().size() -
           seen.all<AcknowledgementsMissed>().size() - seen.all<StoredRoutesComplete>().size();
  }
  void start(Limits limits = {}) {
    limits.reconnectDelayMax = 20000;
    relay = std::make_unique<RelayClient>(loop.base.get(), fakeRelay.address(), names, 100, 1, dispatcher,
                                          *log.log, limits);
  }
  // Starts the client with a short reply timeout and sends an update whose first call gets no reply.
  void startWithUnansweredCall() {
    Limits limits;
    limits.replyTimeout = 50000;
    start(limits);
    ASSERT_TRUE(untilWatchCount());
    fakeRelay.faults = {Fault::Silent};
    update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  }
  bool until(const std::function<bool()>& condition) {
    return loop.until([&] {
      eventIterations += dispatcher.hasEvents() ? 1 : 0;
      seen.take(dispatcher);
      handleDeliveries();
      return condition();
    });
  }
  bool untilWatchCount(int times = 1) {
    return until([&] { return fakeRelay.watches == times; });
  }
};

}  // namespace peargrade::relay
