// parseMessage: unit conversion, error messages, and robustness against malformed input.
#include "clients/messages.h"

#include <gtest/gtest.h>

#include <random>
#include <utility>

#include "clients/sample_messages.h"
#include "support/loop.h"

namespace peargrade::clients {
namespace {

TEST(ParseMessage, ConvertsEachMessageToUnitsOfTheDecisionEngine) {
  const auto names = testNames();
  EXPECT_TRUE(std::holds_alternative<Heartbeat>(parseMessage(kHeartbeat, names, 10)));
  EXPECT_EQ(std::get<CollectorJoin>(parseMessage(R"({"type":"telemetry","az":"b"})", names, 10)).zone, 1);
  const auto serverReport = std::get<ServerLoadReport>(parseMessage(kServerReport, names, 10));
  EXPECT_EQ(serverReport.zone, 1);
  EXPECT_EQ(serverReport.server, "s-5be2a07c");
  EXPECT_EQ(serverReport.attempts, 212);
  EXPECT_EQ(serverReport.failures, 3);
  EXPECT_EQ(serverReport.meanLatency, 41700);
  EXPECT_EQ(serverReport.window, 1000000);
  const auto sliceReport = std::get<SliceLoadReport>(parseMessage(kSliceReport, names, 10));
  EXPECT_EQ(sliceReport.slice, 8);
  EXPECT_EQ(sliceReport.requestClass, 1);
  EXPECT_EQ(sliceReport.requests, 40);
  EXPECT_EQ(sliceReport.failures, 1);
  EXPECT_EQ(sliceReport.window, 1000000);
}

TEST(ParseMessage, NamesTheInvalidField) {
  const std::pair<const char*, const char*> cases[] = {
      {"", "not JSON"},
      {"{", "not JSON"},
      {"[]", "not an object"},
      {R"({"az":"a"})", "'type' is missing"},
      {R"({"type":7})", "'type' is not a string"},
      {R"({"type":"assign"})", "unknown type 'assign'"},
      {R"({"type":"telemetry"})", "'az' is missing"},
      {R"({"type":"telemetry","az":"zz"})", "'az' is not in the settings"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":-1,"bad":0,"window":1})", "'n' is out of range"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1.5,"window":1})", "'n' is not an integer"},
      {R"({"type":"upstream_stats","az":"a","host":"","n":1,"bad":0,"window":1})",
       "'host' is not a server id"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"bad":0,"avg":1})", "'window' is missing"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"bad":0,"avg":-4,"window":1})",
       "'avg' is out of range"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"avg":4,"window":1})", "'bad' is missing"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"bad":0,"window":1})", "'avg' is missing"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"bad":0,"avg":0,"window":1})", "'avg' is 0"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"bad":2,"avg":4,"window":1})",
       "'bad' (2) exceeds 'n' (1)"},
      {R"({"type":"range_stats","partition":1,"kind":"order","n":1,"bad":0,"window":0})", "'window' is 0"},
      {R"({"type":"upstream_stats","az":"a","host":"s","n":1,"bad":0,"avg":1e300,"window":1})",
       "'avg' is out of range"},
      {R"({"type":"range_stats","partition":10,"kind":"order","n":1,"window":1})",
       "'partition' is out of range"},
      {R"({"type":"range_stats","partition":1,"kind":"none","n":1,"window":1})",
       "'kind' is not in the settings"},
  };
  for (const auto& [text, expected] : cases) {
    try {
      parseMessage(text, testNames(), 10);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const ParseError& e) {
      EXPECT_NE(std::string(e.what()).find(expected), std::string::npos) << text << " -> " << e.what();
    }
  }
}

TEST(ParseMessage, DeepNestingDoesNotExhaustTheStack) {
  const std::string deep = std::string(500000, '[') + std::string(500000, ']');
  EXPECT_THROW(parseMessage(deep, testNames(), 10), ParseError);
}

// Property, seed 7: every input is parsed or fails with a ParseError; none crashes or throws another
// exception.
TEST(ParseMessage, RandomMutationsAreParsedOrFailWithAParseError) {
  std::mt19937 random(7);
  const std::string seeds[] = {kServerReport, kSliceReport, kHeartbeat, kJoin};
  int parsed = 0;
  int failed = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text = seeds[random() % 4];
    for (unsigned k = random() % 4; k > 0; --k) {
      const std::size_t offset = random() % text.size();
      if (random() % 3 == 0)
        text.erase(offset, random() % 5);
      else
        text[offset] = static_cast<char>(random() % 256);
      if (text.empty()) text = "x";
    }
    try {
      parseMessage(text, testNames(), 10);
      ++parsed;
    } catch (const ParseError&) {
      ++failed;
    }
  }
  EXPECT_GT(parsed, 1000);
  EXPECT_GT(failed, 1000);
}

}  // namespace
}  // namespace peargrade::clients
