// Encoding of engine actions as commands of the relay.
#include "relay/command.h"

#include <gtest/gtest.h>

#include "support/loop.h"

namespace peargrade::relay {
namespace {

std::string text(const Action& action) { return encodeCommand(action, testNames())->text; }

TEST(CommandEncoding, EachTableActionIsEncodedAsACommand) {
  EXPECT_EQ(text(SetRoute{4, "s-5be2a07c", 1.5}), "put,4,s-5be2a07c,1.5");
  EXPECT_EQ(text(SetRoute{4, "s", 0}), "put,4,s,0");
  EXPECT_EQ(text(SetRoute{4, "s", 1e-3}), "put,4,s,0.001");
  EXPECT_EQ(text(SetRoute{4, "s", 1e-7}), "put,4,s,0.0000001") << "without an exponent";
  EXPECT_EQ(text(ClearTable{4}), "wipe,4");
  EXPECT_EQ(text(SetEjection{"s", EjectionState::Ejected}), "eject,s");
  EXPECT_EQ(text(SetEjection{"s", EjectionState::Readmitted}), "uneject,s");
  EXPECT_EQ(text(SetAdmission{4, 1, 0.9, RetryPolicy::IfNotExecuted}), "gate,4,lookup,0.9,1");
  EXPECT_EQ(text(SetAdmission{kAllTables, 0, 1, RetryPolicy::Never}), "gate,*,*,1,0");
  EXPECT_EQ(text(SetAdmission{4, 3, 0.3, RetryPolicy::AnyFailure}), "gate,4,lookup+order,0.3,2");
  EXPECT_EQ(text(AcknowledgementRequest{905, true}), "fence,905,1");
  EXPECT_EQ(text(AcknowledgementRequest{905, false}), "fence,905,0");
  EXPECT_FALSE(encodeCommand(Log{"x"}, testNames()).has_value());
}

}  // namespace
}  // namespace peargrade::relay
