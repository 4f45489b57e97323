// The simulator adapter: independent instances identified by number, and exit code 1 with an error message on
// invalid input.
#include <gtest/gtest.h>

#include <sstream>

#include "simulator/adapter.h"

namespace peargrade::simulator {
namespace {

const std::string kInfo =
    R"({"classes":[{"aimUs":800000,"effect":"repeatable","worth":1}],"extra":{"shards":4,"usualHow":1}})";

std::string start(int supervisor, int seed) {
  return R"({"supervisor":)" + std::to_string(supervisor) + R"(,"input":[{"newInstance":{"randomSeed":)" +
         std::to_string(seed) + R"(,"info":)" + kInfo +
         R"(}},{"peersKnown":{"mode":"disk","rev":1,"entries":[{"server":"s_a","health":"U"},)"
         R"({"server":"s_b","health":"U"},{"server":"s_c","health":"U"}]}},)"
         R"({"peersKnown":{"mode":"snapshot","rev":2,"entries":[{"server":"s_a","health":"U"},)"
         R"({"server":"s_b","health":"U"},{"server":"s_c","health":"U"}]}},)"
         R"({"enrolled":{"sidecar":1,"rackZone":0}},{"charge":{"tbl":0,"on":true}},{"charge":{"tbl":1,"on":true}},)"
         R"({"onRecord":{"tbl":1,"server":"s_a","w":1}}]})";
}

struct RunResult {
  int code;
  std::string out;
  std::string err;
};

RunResult run(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  std::ostringstream err;
  const int code = runAdapter(in, out, err);
  return {code, out.str(), err.str()};
}

TEST(SimulatorAdapter, ExitsWithZeroAtTheEndOfInput) {
  const RunResult result = run("");
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(result.out, "");
  EXPECT_EQ(result.err, "");
}

TEST(SimulatorAdapter, AnswersAnEmptyBatchWithAnEmptyReply) {
  EXPECT_EQ(run("{\"wallUs\":5,\"turn\":1,\"groups\":[]}\n").out, "{\"turn\":1,\"groups\":[]}\n");
}

TEST(SimulatorAdapter, InstancesActTheSameAloneAndTogether) {
  const std::string head = R"({"wallUs":5,"turn":1,"groups":[)";
  const RunResult first = run(head + start(1, 7) + "]}\n");
  const RunResult second = run(head + start(2, 8) + "]}\n");
  const RunResult both = run(head + start(1, 7) + "," + start(2, 8) + "]}\n");
  const auto group = [](const std::string& out) {
    const auto from = out.find('[') + 1;
    return out.substr(from, out.rfind(']') - from);
  };
  EXPECT_NE(group(first.out), "");
  EXPECT_EQ(both.out, "{\"turn\":1,\"groups\":[" + group(first.out) + "," + group(second.out) + "]}\n");
}

TEST(SimulatorAdapter, RejectsAnEventForAnInstanceThatIsNotRunning) {
  const RunResult result = run(
      "{\"wallUs\":5,\"turn\":4,\"groups\":[{\"supervisor\":9,\"input\":[{\"parted\":{\"sidecar\":1}}]}]}\n");
  EXPECT_EQ(result.code, 1);
  EXPECT_EQ(result.out, "");
  EXPECT_NE(result.err.find("batch 4: supervisor 9: event for an instance that is not running"),
            std::string::npos)
      << result.err;
}

TEST(SimulatorAdapter, RejectsEventsOfARetiredInstanceUntilItStartsAgain) {
  const std::string head = "{\"wallUs\":5,\"turn\":1,\"groups\":[";
  const std::string retire =
      "{\"wallUs\":6,\"turn\":2,\"groups\":[{\"supervisor\":1,\"input\":[{\"retire\":{}}]}]}\n";
  const std::string late =
      "{\"wallUs\":7,\"turn\":3,\"groups\":[{\"supervisor\":1,\"input\":[{\"parted\":{\"sidecar\":1}}]}]}\n";
  EXPECT_EQ(run(head + start(1, 7) + "]}\n" + retire + late).code, 1);
  EXPECT_EQ(run(head + start(1, 7) + "]}\n" + retire + head + start(1, 9) + "]}\n" + late).code, 0);
}

TEST(SimulatorAdapter, RejectsAnEventForAnUnknownSlice) {
  const RunResult result = run(
      "{\"wallUs\":5,\"turn\":1,\"groups\":[" + start(1, 7) +
      "]}\n{\"wallUs\":6,\"turn\":2,\"groups\":[{\"supervisor\":1,\"input\":[{\"charge\":{\"tbl\":4}}]}]}\n");
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("batch 2"), std::string::npos) << result.err;
}

TEST(SimulatorAdapter, WritesNothingToStandardOutputForMalformedInput) {
  for (const char* line : {"nonsense\n", "{\"turn\":1}\n", "{\"wallUs\":5,\"turn\":1,\"groups\":[3]}\n"}) {
    const RunResult result = run(line);
    EXPECT_EQ(result.code, 1) << line;
    EXPECT_EQ(result.out, "") << line;
    EXPECT_NE(result.err.find("batch"), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace peargrade::simulator
