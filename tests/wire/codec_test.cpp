// The codec of batches and replies: their form, every action, and errors that name the location and the
// field.
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <cctype>

namespace peargrade::wire {
namespace {

TEST(ParseBatch, ReadsAnEmptyBatch) {
  const Batch parsed = parseBatch(R"({"wallUs":8412250,"turn":1,"groups":[]})");
  EXPECT_EQ(parsed.now, 8412250);
  EXPECT_EQ(parsed.sequenceNumber, 1);
  EXPECT_TRUE(parsed.groups.empty());
  EXPECT_EQ(writeReply({1, {}}), R"({"turn":1,"groups":[]})");
}

TEST(WriteReply, WritesEveryActionInItsWireForm) {
  Reply reply{12,
              {{3,
                {SetTimer{500000, "sweep"}, WatchEndpoints{true}, PollEndpoints{}, HealthCheck{"s_a"},
                 SendGossip{"hi\n"}, SetRoute{117, "s_b", 0.75}, ClearTable{4},
                 SetEjection{"s_a", EjectionState::Readmitted},
                 SetAdmission{kAllTables, 2, 0.5, RetryPolicy::IfNotExecuted},
                 AcknowledgementRequest{7, true}, Log{"two \"known\""}}}}};
  EXPECT_EQ(
      writeReply(reply),
      R"({"turn":12,"groups":[{"supervisor":3,"out":[{"schedule":{"waitUs":500000,"handle":"sweep"}},)"
      R"({"track":{"on":true}},{"lookup":{}},{"ping":{"server":"s_a"}},{"say":{"to":"*","octets":"68690a"}},)"
      R"({"setLine":{"tbl":117,"server":"s_b","w":0.75}},{"truncate":{"tbl":4}},)"
      R"({"pull":{"on":false,"server":"s_a"}},)"
      R"({"throttle":{"tbl":65535,"secondTry":1,"classes":2,"limit":0.5}},{"nonce":{"on":true,"rev":7}},)"
      R"({"print":{"text":"two \"known\""}}]}]})");
}

std::string parseError(const std::string& line) {
  try {
    parseBatch(line);
  } catch (const ParseError& e) {
    return e.what();
  }
  return "";
}

struct MalformedBatch {
  const char* line;
  const char* error;
};

// Builds a test name from the expected error, without the characters that test names must not contain.
std::string caseName(const testing::TestParamInfo<MalformedBatch>& info) {
  std::string name = std::to_string(info.index) + "_";
  for (const char* c = info.param.error; *c != 0; ++c) {
    if (std::isalnum(static_cast<unsigned char>(*c)) != 0) name += *c;
  }
  return name;
}

class ParseBatchError : public testing::TestWithParam<MalformedBatch> {};

TEST_P(ParseBatchError, NamesTheLocationAndTheField) {
  const std::string actual = parseError(GetParam().line);
  EXPECT_NE(actual.find(GetParam().error), std::string::npos) << "error: " << actual;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ParseBatchError,
    testing::Values(
        MalformedBatch{"", "not JSON"}, MalformedBatch{"{\"wallUs\":1", "not JSON"},
        MalformedBatch{"[]", "not an object"},
        MalformedBatch{R"({"wallUs":1,"groups":[]})", "'turn' is missing"},
        MalformedBatch{R"({"turn":9,"groups":[]})", "batch 9: 'wallUs' is missing"},
        MalformedBatch{R"({"turn":9,"wallUs":1})", "batch 9: 'groups' is missing"},
        MalformedBatch{R"({"turn":9,"wallUs":1,"groups":{}})", "'groups' is not an array"},
        MalformedBatch{R"({"turn":9,"wallUs":1,"groups":[{"input":[]}]})", "'supervisor' is missing"},
        MalformedBatch{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":-1,"input":[]}]})",
                       "'supervisor' is out of range"},
        MalformedBatch{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"bogus":{}}]}]})",
                       "batch 9: supervisor 2: unknown event 'bogus'"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{},"retire":{}}]}]})",
            "single key"},
        MalformedBatch{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{}}]}]})",
                       "parted: 'sidecar' is missing"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{"sidecar":70000}}]}]})",
            "'sidecar' is out of range"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{"sidecar":1.5}}]}]})",
            "'sidecar' is not an integer"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"charge":{"tbl":1,"on":3}}]}]})",
            "'on' is not a boolean"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"echo":{"server":"","ending":1}}]}]})",
            "'server' is not a server id"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"echo":{"server":"a b","ending":1}}]}]})",
            "'server' is not a server id"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"echo":{"server":"a","ending":9}}]}]})",
            "'ending' is out of range"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"peersKnown":{"mode":"odd"}}]}]})",
            "'mode' has an unknown value"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"peersKnown":{"mode":"diff"}}]}]})",
            "'entries' is missing"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"message":{"originPeer":1,"octets":"6"}}]}]})",
            "'octets' is not a string of hexadecimal digit pairs"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"newInstance":{"randomSeed":1}}]}]})",
            "'info' is missing"},
        MalformedBatch{
            R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"newInstance":{"randomSeed":1,"info":{}}}]}]})",
            "'classes' is missing"}),
    caseName);

}  // namespace
}  // namespace peargrade::wire
