// Updates as sequences of calls, and their delivery outcomes, without sockets.
#include "relay/update_calls.h"

#include <gtest/gtest.h>

#include "support/loop.h"

namespace peargrade::relay {
namespace {

struct UpdateCallsTest : testing::Test {
  static constexpr std::size_t kPendingMax = 70000;
  UpdateCalls calls{kPendingMax};
  std::vector<std::string> accepted;
  std::vector<SettledCall> settled;

  UpdateCallsTest() {
    calls.onAccepted([this](const Command& command) { accepted.push_back(command.text); });
    calls.onSettled([this](const SettledCall& call) { settled.push_back(call); });
  }
  void add(const std::vector<Action>& actions) {
    Commands update;
    for (const Action& a : actions) update.push_back(*encodeCommand(a, testNames()));
    calls.addUpdate(std::move(update));
  }
};

TEST_F(UpdateCallsTest, OneUpdateIsOneCallInOrder) {
  add({SetRoute{1, "s", 1}, SetRoute{1, "t", 0}, AcknowledgementRequest{7}});
  EXPECT_EQ(calls.beginCall(), "APPLY put,1,s,1;put,1,t,0;fence,7,0\r\n");
  EXPECT_FALSE(calls.needsConnection());
  EXPECT_EQ(calls.onReply("OK 3"), CallResult::Accepted);
  EXPECT_EQ(accepted.size(), 3u);
  EXPECT_FALSE(calls.needsConnection());
}

TEST_F(UpdateCallsTest, CallsStayWithinTheSizeLimit) {
  std::vector<Action> many;
  for (int k = 0; k < 6000; ++k) many.push_back(SetRoute{k, "s-5be2a07c", 1});
  add(many);
  std::size_t count = 0;
  std::size_t rounds = 0;
  while (calls.needsConnection()) {
    const std::string call = calls.beginCall();
    EXPECT_LE(call.size() - 8, UpdateCalls::kCallBytesMax);
    const std::size_t commands = calls.inFlight().commands.size();
    count += commands;
    ++rounds;
    ASSERT_EQ(calls.onReply("OK " + std::to_string(commands)), CallResult::Accepted);
  }
  EXPECT_EQ(count, 6000u);
  EXPECT_EQ(rounds, 3u);
  EXPECT_EQ(accepted.front(), "put,0,s-5be2a07c,1");
  EXPECT_EQ(accepted.back(), "put,5999,s-5be2a07c,1");
}

// Takes the delivery of the current update as text: id, outcome and number of messages; "" if there is none.
std::string takeDeliveryText(UpdateCalls& calls) {
  if (!calls.hasDelivery()) return "";
  const UpdateDelivery delivery = calls.takeDelivery();
  const bool accepted = delivery.outcome == DeliveryOutcome::Accepted;
  return std::to_string(delivery.updateId) + (accepted ? " accepted " : " incomplete ") +
         std::to_string(delivery.messages);
}

TEST_F(UpdateCallsTest, UpdateIsAcceptedWithTheLastOfItsCalls) {
  std::vector<Action> many;
  for (int k = 0; k < 6000; ++k) many.push_back(SetRoute{k, "s-5be2a07c", 1});
  many.push_back(AcknowledgementRequest{3});
  add(many);
  for (int call = 1; call <= 3; ++call) {
    EXPECT_EQ(takeDeliveryText(calls), "") << call;
    calls.beginCall();
    calls.onReply("OK " + std::to_string(calls.inFlight().commands.size()));
  }
  EXPECT_EQ(takeDeliveryText(calls), "3 accepted 3");
  EXPECT_EQ(takeDeliveryText(calls), "") << "reported once";
}

TEST_F(UpdateCallsTest, CommandRejectedTwiceIsDroppedUntilAnUpdateIsAccepted) {
  const std::vector<Action> update = {SetRoute{1, "s", 1}, SetRoute{2, "unknown", 1}, SetRoute{3, "s", 1},
                                      AcknowledgementRequest{1}};
  add(update);
  calls.beginCall();
  EXPECT_EQ(calls.onReply("OK 1"), CallResult::PartiallyAccepted);
  EXPECT_EQ(accepted, std::vector<std::string>{"put,1,s,1"});
  EXPECT_EQ(takeDeliveryText(calls), "1 incomplete 1") << "one message with a part of the update was sent";
  add(update);
  EXPECT_EQ(calls.beginCall(), "APPLY put,1,s,1;put,2,unknown,1;put,3,s,1;fence,1,0\r\n")
      << "the count may have been corrupt, so the command is sent again";
  EXPECT_EQ(calls.onReply("OK 1"), CallResult::Dropped);
  EXPECT_EQ(calls.rejectedCommand(), "put,2,unknown,1");
  EXPECT_EQ(takeDeliveryText(calls), "1 incomplete 1");
  add(update);
  EXPECT_EQ(calls.beginCall(), "APPLY put,1,s,1;put,3,s,1;fence,1,0\r\n");
  EXPECT_EQ(calls.onReply("OK 3"), CallResult::Accepted);
  EXPECT_EQ(takeDeliveryText(calls), "1 accepted 1");
  add(update);
  EXPECT_EQ(calls.beginCall(), "APPLY put,1,s,1;put,2,unknown,1;put,3,s,1;fence,1,0\r\n")
      << "the command is sent again, because discovery may list the server by now";
}

// A corrupt reply may read `invalid`: the outcome is unknown, and the engine sends the update again.
TEST_F(UpdateCallsTest, SingleInvalidReplyLosesNoCommand) {
  for (int k = 1; k < UpdateCalls::kInvalidRepliesMax; ++k) {
    add({SetRoute{1, "s", 1}, AcknowledgementRequest{k}});
    calls.beginCall();
    EXPECT_EQ(calls.onReply("ERR invalid"), CallResult::Malformed);
    calls.onConnectionLost();
    EXPECT_EQ(takeDeliveryText(calls), std::to_string(k) + " incomplete 1");
  }
  add({SetRoute{1, "s", 1}, AcknowledgementRequest{8}});
  calls.beginCall();
  EXPECT_EQ(calls.onReply("ERR invalid"), CallResult::Invalid) << "the last of too many in a row";
  EXPECT_EQ(takeDeliveryText(calls), "8 accepted 1") << "dropped, so that later updates are sent";
  for (const char* other : {"ERR conflict", "ERR internal", "OK", "ERR"}) {
    add({SetRoute{1, "s", 2}});
    calls.beginCall();
    EXPECT_EQ(calls.onReply(other), CallResult::Malformed) << other;
    calls.onConnectionLost();
    takeDeliveryText(calls);
  }
}

TEST_F(UpdateCallsTest, ThrottledCallCountsNoMessage) {
  add({SetRoute{1, "s", 1}, AcknowledgementRequest{1}});
  calls.beginCall();
  EXPECT_EQ(calls.onReply("ERR throttled"), CallResult::Throttled);
  EXPECT_EQ(takeDeliveryText(calls), "1 incomplete 0");
}

TEST_F(UpdateCallsTest, CallOfUnknownOutcomeIsNotRepeated) {
  add({SetRoute{1, "s", 1}, AcknowledgementRequest{1}});
  calls.beginCall();
  calls.onConnectionLost();
  EXPECT_TRUE(calls.undelivered());
  EXPECT_EQ(takeDeliveryText(calls), "1 incomplete 1");
  EXPECT_FALSE(calls.needsConnection());
  ASSERT_EQ(settled.size(), 1u);
  EXPECT_EQ(settled[0].id, 1u);
  EXPECT_EQ(settled[0].outcome, CallOutcome::Unknown);
  EXPECT_EQ(settled[0].accepted, 0u);
  add({SetRoute{1, "s", 2}, AcknowledgementRequest{2}});
  EXPECT_EQ(calls.beginCall(), "APPLY put,1,s,2;fence,2,0\r\n");
  EXPECT_EQ(settled.size(), 1u) << "a replay may still confirm it";
  calls.onReply("OK 2");
  ASSERT_EQ(settled.size(), 2u);
  EXPECT_EQ(settled[1].id, 2u) << "the answer settles the second call alone";
  EXPECT_EQ(settled[1].outcome, CallOutcome::Executed);
  EXPECT_EQ(settled[1].accepted, 2u);
}

TEST_F(UpdateCallsTest, UpdateThatWasNeverSentCountsNoMessage) {
  add({SetRoute{1, "s", 1}, AcknowledgementRequest{1}});
  calls.onConnectionLost();  // no connection was established
  EXPECT_EQ(takeDeliveryText(calls), "1 incomplete 0");
}

TEST_F(UpdateCallsTest, AcknowledgementConfirmsCallOfUnknownOutcome) {
  add({SetRoute{1, "s", 1}, AcknowledgementRequest{1}});
  calls.beginCall();
  calls.onAcknowledged(1);
  EXPECT_TRUE(calls.awaitingReply()) << "the reply can still arrive";
  calls.onConnectionLost();
  calls.onAcknowledged(9);
  EXPECT_TRUE(calls.undelivered());
  calls.onAcknowledged(1);
  EXPECT_EQ(takeDeliveryText(calls), "1 accepted 1");
  EXPECT_EQ(accepted.size(), 2u);
}

// Evidence for an earlier call must not confirm a later one that was not executed: its commands would be
// lost.
TEST_F(UpdateCallsTest, AcknowledgementOfAnEarlierCallDoesNotConfirmAThrottledOne) {
  add({SetRoute{1, "s", 1}, AcknowledgementRequest{1}});
  calls.beginCall();
  calls.onConnectionLost();
  EXPECT_EQ(takeDeliveryText(calls), "1 incomplete 1");
  add({SetRoute{1, "s", 2}, AcknowledgementRequest{2}});
  calls.beginCall();
  EXPECT_EQ(calls.onReply("ERR throttled"), CallResult::Throttled);
  calls.onAcknowledged(1);
  EXPECT_EQ(takeDeliveryText(calls), "2 incomplete 0");
}

TEST_F(UpdateCallsTest, MalformedRepliesAreReported) {
  for (const char* answer : {"", "OK", "OK x", "OK 3", "OK -1", "OK 1 2", "\x01\x02", "what"}) {
    add({SetRoute{1, "s", 1}});
    calls.beginCall();
    EXPECT_EQ(calls.onReply(answer), CallResult::Malformed) << answer;
    calls.onConnectionLost();
    takeDeliveryText(calls);
  }
}

TEST_F(UpdateCallsTest, PendingCommandsAreBounded) {
  std::vector<Action> many;
  for (std::size_t k = 0; k < kPendingMax + 10; ++k)
    many.push_back(SetRoute{static_cast<TableId>(k % 60000), "s" + std::to_string(k / 60000), 1});
  add(many);
  EXPECT_EQ(calls.pending(), kPendingMax);
  EXPECT_EQ(calls.counts().commandsLost, 10u);
}

}  // namespace
}  // namespace peargrade::relay
