// Messages of collectors and health checkers: which are dispatched, answered, discarded or rejected.
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <random>

#include "clients/report_server_fixture.h"

namespace peargrade::clients {
namespace {

TEST_F(ReportServerTest, DispatchesReportsInOrderWhenTheyArriveByteByByte) {
  start();
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(until([&] { return collector.up(); }));
  const std::string bytes = encodeFrame(R"({"type":"telemetry","az":"b"})") + encodeFrame(kServerReport) +
                            encodeFrame(kSliceReport);
  for (char byte : bytes) {
    collector.sendRaw(std::string(1, byte));
    event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }
  ASSERT_TRUE(until([&] { return seen.events.size() == 2; }));
  EXPECT_EQ(seen.all<ServerLoadReport>().at(0).attempts, 212);
  EXPECT_EQ(seen.all<SliceLoadReport>().at(0).slice, 8);
  EXPECT_TRUE(collector.received.empty()) << "the protocol forbids writing to a collector";
}

TEST_F(ReportServerTest, DispatchesEveryMessageOfALargeBurst) {
  start();
  Collector collector(loop.base.get(), server->address());
  join(collector);
  std::string bytes;
  for (int k = 0; k < 5000; ++k) bytes += encodeFrame(kSliceReport);
  collector.sendRaw(bytes);
  ASSERT_TRUE(until([&] { return seen.events.size() == 5000; }));
}

TEST_F(ReportServerTest, AnswersHeartbeatsOnceTheSupervisorIsReady) {
  start();
  Collector collector(loop.base.get(), server->address());
  collector.send(kHeartbeat);
  ASSERT_TRUE(joinAndReport(collector));  // shows that the heartbeat has been read
  EXPECT_TRUE(collector.received.empty());
  dispatcher.relayConnected();
  EXPECT_FALSE(dispatcher.ready());
  dispatcher.endpointListKnown();
  ASSERT_TRUE(until([&] { return collector.received.size() == 1; }));
  EXPECT_EQ(collector.received[0], R"({"type":"hb_ok"})");
  collector.send(kHeartbeat);
  ASSERT_TRUE(until([&] { return collector.received.size() == 2; }));
}

TEST_F(ReportServerTest, RejectsInvalidClientsAtOnceWithOneLogLineEach) {
  start();
  Collector good(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(good));
  const std::pair<std::string, const char*> cases[] = {
      {"GET / HTTP/1.1\r\n\r\n", "code=bad-length"},
      {std::string("\x7f\xff\xff\xff", 4), "code=bad-length"},
      {std::string("\x00\x08\x00\x00", 4) + "{", "code=bad-length"},
      {encodeFrame("{not json"), "code=bad-message"},
      {encodeFrame("\x01\x02\x03"), "code=bad-message"},
      {encodeFrame(R"({"type":"assign"})"), "code=bad-message"},
      {encodeFrame(R"({"type":"attach","sidecar":9999,"az":"a","share":1,"standing":true})"),
       "code=bad-message"},
      {encodeFrame(R"({"type":"telemetry","az":"nowhere"})"), "code=bad-message"},
      {encodeFrame(kServerReport), "code=not-joined"},
      {encodeFrame(kSliceReport), "code=not-joined"},
      {encodeFrame(kHeartbeat) + encodeFrame(kServerReport), "code=not-joined"},
      {encodeFrame(""), "code=bad-message"},
  };
  std::size_t ended = 0;
  const std::size_t before = seen.events.size();
  for (const auto& [bytes, code] : cases) {
    Collector bad(loop.base.get(), server->address());
    bad.sendRaw(bytes);
    ASSERT_TRUE(until([&] { return bad.ended(); })) << code;
    EXPECT_EQ(log.count(" ended code="), ++ended) << "one line per closed connection";
    EXPECT_NE(log.read().substr(log.text.rfind(" ended code=")).find(code), std::string::npos) << log.text;
  }
  EXPECT_EQ(seen.events.size(), before) << "no report of a rejected client is dispatched";
  good.send(kSliceReport);
  ASSERT_TRUE(until([&] { return seen.events.size() == before + 1; }));
}

TEST_F(ReportServerTest, SendsRejectToARejectedClient) {
  start();
  Collector bad(loop.base.get(), server->address());
  bad.send(R"({"type":"assign"})");
  ASSERT_TRUE(until([&] { return bad.ended(); }));
  EXPECT_EQ(bad.received, std::vector<std::string>{R"({"type":"reject"})"});
}

TEST_F(ReportServerTest, DiscardsAMalformedMessageOfACollectorAndKeepsTheConnection) {
  start();
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(collector));
  seen.events.clear();
  const std::string malformed[] = {
      R"({"type":"upstream_stats","az":"a","host":"s","n":5,"bad":0,"window":1000})",
      R"({"type":"upstream_stats","az":"a","host":"s","n":null,"bad":0,"avg":4,"window":1000})",
      R"({"type":"range_stats","partition":99,"kind":"order","n":1,"bad":0,"window":1000})",
      R"({"type":"telemetry","az":"nowhere"})",
      R"({"type":"assign"})",
      R"([])",
      "{\"type\":\"upst",
      "\xff\xfe",
  };
  for (const std::string& body : malformed) {
    collector.send(body);
    collector.send(kSliceReport);
  }
  ASSERT_TRUE(until([&] { return seen.events.size() == std::size(malformed); }));
  EXPECT_EQ(server->discardedMessages(), std::size(malformed));
  EXPECT_FALSE(collector.ended());
  EXPECT_EQ(log.count("invalid messages; last from"), 1u) << "one line per second for all of them";
  for (int k = 0; k < 3; ++k) collector.sendRaw(encodeFrame("\xff"));
  ASSERT_TRUE(until([&] { return collector.ended(); }))
      << "consecutive frames that are not JSON must close the connection";
  EXPECT_TRUE(log.has("collector ended code=bad-message"));
  EXPECT_TRUE(collector.received.empty()) << "the protocol forbids writing to a collector";
}

// Property, seed 11: for any value of one field, the reports before and after it are dispatched. The report
// itself is dispatched only if all its fields are valid.
TEST_F(ReportServerTest, InvalidFieldDiscardsOnlyItsOwnReport) {
  start();
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(collector));
  seen.events.clear();
  std::mt19937 random(11);
  const char* const values[] = {"null",
                                "-1",
                                "1e300",
                                "\"x\"",
                                "{}",
                                "[]",
                                "true",
                                "99999",
                                "0.5",
                                "-0.1",
                                "\"\"",
                                "1e18",
                                "123456789012345678901234567890"};
  std::size_t sent = 0;
  std::size_t valid = 0;
  for (const std::string& text : {std::string(kServerReport), std::string(kSliceReport)}) {
    rapidjson::Document doc;
    doc.Parse(text.c_str());
    for (auto field = doc.MemberBegin(); field != doc.MemberEnd(); ++field) {
      const std::string name = field->name.GetString();
      const std::size_t offset = text.find("\"" + name + "\":") + name.size() + 3;
      const std::size_t end = field->value.IsObject() ? text.rfind('}') : text.find_first_of(",}", offset);
      std::vector<std::string> forms;
      for (const char* value : values) forms.push_back(text.substr(0, offset) + value + text.substr(end));
      const std::size_t from = offset - name.size() - 3;  // form with the field removed
      forms.push_back(text[end] == ',' ? text.substr(0, from) + text.substr(end + 1)
                                       : text.substr(0, from - 1) + text.substr(end));
      std::shuffle(forms.begin(), forms.end(), random);
      for (const std::string& form : forms) {
        try {
          parseMessage(form, names, 10);
          ++valid;
        } catch (const ParseError&) {
        }
        ++sent;
        collector.send(form);
        collector.send(kSliceReport);
      }
    }
  }
  ASSERT_TRUE(until([&] { return seen.events.size() == sent + valid; }));
  EXPECT_GT(sent, 150u);
  EXPECT_EQ(server->discardedMessages(), sent - valid);
  for (const ServerLoadReport& report : seen.all<ServerLoadReport>()) {
    EXPECT_GT(report.window, 0);
    EXPECT_LE(report.failures, report.attempts);
    EXPECT_TRUE(report.meanLatency > 0 || report.attempts == report.failures)
        << "a missing mean must not be taken for a latency of zero";
  }
}

TEST_F(ReportServerTest, ThrowsIfTheAddressIsInUse) {
  start();
  EXPECT_THROW(ReportServer(loop.base.get(), server->address(), names, 10, dispatcher, *log.log, {}),
               std::runtime_error);
}

}  // namespace
}  // namespace peargrade::clients
