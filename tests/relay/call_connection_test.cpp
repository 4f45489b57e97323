// The connections of the relay client, byte by byte: closes, replies and calls that cross on the network.
#include "relay/call_connection.h"

#include <gtest/gtest.h>

#include "fakes/manual_peer.h"
#include "relay/relay_client_fixture.h"

namespace peargrade::relay {
namespace {

constexpr char kFirstCall[] = "APPLY put,7,s,1;fence,1,0\r\n";
constexpr char kSecondCall[] = "APPLY put,7,s,2;fence,2,0\r\n";

struct CallConnectionTest : RelayClientTest {
  fakes::ManualServer manualRelay;
  std::unique_ptr<fakes::ManualPeer> watch;
  std::unique_ptr<fakes::ManualPeer> calls;

  void begin(Limits limits = {}) {
    limits.reconnectDelayMax = 20000;
    relay = std::make_unique<RelayClient>(loop.base.get(), manualRelay.address(), names, 100, 1, dispatcher,
                                          *log.log, limits);
    ASSERT_TRUE(until([&] {
      if (!watch) watch = manualRelay.accept();
      return watch && watch->read() == "WATCH\r\n";
    }));
    watch->send("OK\r\n");
  }
  // Accepts the next call connection and checks its first call.
  ::testing::AssertionResult receivesCall(const std::string& call) {
    calls.reset();
    if (until([&] {
          if (!calls) calls = manualRelay.accept();
          return calls && calls->read() == call;
        }))
      return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << (calls ? calls->read() : "no connection");
  }
  // Starts the client and has one update accepted; the call connection stays open.
  void beginWithAcceptedUpdate() {
    begin();
    update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
    ASSERT_TRUE(receivesCall(kFirstCall));
    calls->send("OK 2\r\n");
    ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  }
  std::vector<UpdateDelivery> deliveries() const { return seen.all<UpdateDelivery>(); }
};

// The watch receives bytes, but never a complete line.
TEST_F(CallConnectionTest, WatchThatNeverCompletesALineIsReconnected) {
  Limits limits;
  limits.watchIdleTimeout = 150000;
  begin(limits);
  Pace pace{20000};
  ASSERT_TRUE(until([&] {
    if (pace.due()) watch->send("x");
    return log.has("watch ended code=silent");
  }));
}

TEST_F(CallConnectionTest, WatchWhoseReplyNeverCompletesIsReconnected) {
  Limits limits;
  limits.watchIdleTimeout = 150000;
  relay = std::make_unique<RelayClient>(loop.base.get(), manualRelay.address(), names, 100, 1, dispatcher,
                                        *log.log, limits);
  ASSERT_TRUE(until([&] { return (watch = manualRelay.accept()) != nullptr; }));
  Pace pace{20000};
  ASSERT_TRUE(until([&] {
    if (pace.due()) watch->send("O");
    return log.has("watch ended code=silent");
  }));
}

// The relay closes an idle connection just before a call is written, and the client has not read the close
// yet. If the call were written to that connection, its outcome would be unknown without need.
TEST_F(CallConnectionTest, CallIsNotWrittenToAConnectionThatWasJustClosed) {
  ASSERT_NO_FATAL_FAILURE(beginWithAcceptedUpdate());
  for (const bool broken : {false, true}) {
    if (broken)
      calls->reset();
    else
      calls->close();
    update({SetRoute{7, "s", 2}, AcknowledgementRequest{2}});
    ASSERT_TRUE(receivesCall(kSecondCall));
    calls->send("OK 2\r\n");
    ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  }
  EXPECT_EQ(incompleteDeliveries, 0u);
  EXPECT_EQ(relay->counts().undelivered, 0u);
  EXPECT_FALSE(log.has("call outcome unknown"));
  EXPECT_EQ(log.count("calls ended code="), 2u) << log.text;
}

// The close arrives after the call was written: the delivery is reported once, and the client does not repeat
// the call.
TEST_F(CallConnectionTest, CallThatCrossesACloseIsReportedOnceAsIncomplete) {
  ASSERT_NO_FATAL_FAILURE(beginWithAcceptedUpdate());
  dispatcher.dispatch(
      {SetRoute{7, "s", 2}, AcknowledgementRequest{2}});  // the fixture does not send it again
  calls->close();                                         // the call is unread, so this sends a reset
  std::unique_ptr<fakes::ManualPeer> next;
  ASSERT_TRUE(until([&] {
    if (!next) next = manualRelay.accept();
    return deliveries().size() == 2;
  }));
  EXPECT_EQ(deliveries()[1].outcome, DeliveryOutcome::Incomplete);
  EXPECT_EQ(deliveries()[1].messages, 1) << "the call may have been executed";
  EXPECT_EQ(next->read(), "") << "the client must not repeat the call";
}

// The second copy of a duplicated reply would be mistaken for the reply to the next call.
TEST_F(CallConnectionTest, DuplicateReplyIsNotMatchedToTheNextCall) {
  ASSERT_NO_FATAL_FAILURE(beginWithAcceptedUpdate());
  calls->send("OK 2\r\n");
  update({SetRoute{7, "s", 2}, AcknowledgementRequest{2}});
  ASSERT_TRUE(receivesCall(kSecondCall)) << "on a new connection";
  EXPECT_EQ(deliveries().size(), 1u) << "not answered yet";
  EXPECT_TRUE(log.has("calls ended code=bad-answer (reply without a call in flight)")) << log.text;
  calls->send("OK 2\r\n");
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  EXPECT_EQ(incompleteDeliveries, 0u);
}

TEST_F(CallConnectionTest, ReplyThatArrivesWithTheCloseCounts) {
  begin();
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(receivesCall(kFirstCall));
  calls->send("OK 2\r\n");
  calls->close();
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  EXPECT_EQ(incompleteDeliveries, 0u);
  EXPECT_EQ(deliveries().at(0).outcome, DeliveryOutcome::Accepted);
}

TEST_F(CallConnectionTest, TruncatedReplyIsReportedOnceAsIncomplete) {
  begin();
  std::size_t reported = 0;
  for (const char* part : {"", "O", "OK", "OK ", "OK 2", "OK 2\r"}) {
    dispatcher.dispatch({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
    ASSERT_TRUE(receivesCall(kFirstCall)) << part;
    calls->send(part);
    calls->close();
    std::unique_ptr<fakes::ManualPeer> next;
    ASSERT_TRUE(until([&] {
      if (!next) next = manualRelay.accept();
      return deliveries().size() == reported + 1;
    })) << part;
    EXPECT_EQ(deliveries()[reported].outcome, DeliveryOutcome::Incomplete) << part;
    ++reported;
    next->reset();
    ASSERT_TRUE(until([&] { return log.count("calls ended code=") == 2 * reported; })) << part;
  }
}

// The call gets its reply on the connection it was sent on, and one watch and one call connection remain.
TEST_F(CallConnectionTest, MoveThereAndBackDuringACallReportsItsDeliveryOnce) {
  begin();
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(receivesCall(kFirstCall));
  fakes::Relay away{loop.base.get()};
  relay->moveTo(away.address());
  relay->moveTo(manualRelay.address());
  std::unique_ptr<fakes::ManualPeer> back;
  ASSERT_TRUE(until([&] {
    if (!back) back = manualRelay.accept();
    return back && back->read() == "WATCH\r\n";
  }));
  back->send("OK\r\n");
  ASSERT_TRUE(until([&] {
    watch->read();
    return watch->ended();
  })) << "the former watch must be closed";
  calls->send("OK 2\r\n");
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  EXPECT_EQ(deliveries().size(), 1u);
  update({SetRoute{7, "s", 2}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] { return calls->read() == std::string(kFirstCall) + kSecondCall; }))
      << "on the same connection";
  EXPECT_EQ(away.watches, 0);
}

}  // namespace
}  // namespace peargrade::relay
