// The host: many instances by number, nothing shared, a plain complaint and a non-zero exit on bad input.
#include "simulator/host.h"

#include <gtest/gtest.h>

#include <sstream>

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

struct Served {
  int code;
  std::string out, err;
};

Served feed(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  const int code = serve(in, out, err);
  return {code, out.str(), err.str()};
}

TEST(Host, EndOfInputIsACleanExit) {
  const Served s = feed("");
  EXPECT_EQ(s.code, 0);
  EXPECT_EQ(s.out, "");
  EXPECT_EQ(s.err, "");
}

TEST(Host, AnEmptyBatchGetsAnEmptyReply) {
  EXPECT_EQ(feed("{\"wallUs\":5,\"turn\":1,\"groups\":[]}\n").out, "{\"turn\":1,\"groups\":[]}\n");
}

TEST(Host, InstancesActAlikeAloneAndTogether) {
  const std::string head = R"({"wallUs":5,"turn":1,"groups":[)";
  const Served a = feed(head + start(1, 7) + "]}\n"), b = feed(head + start(2, 8) + "]}\n");
  const Served both = feed(head + start(1, 7) + "," + start(2, 8) + "]}\n");
  auto group = [](const std::string& out) {
    const auto from = out.find('[') + 1;
    return out.substr(from, out.rfind(']') - from);
  };
  EXPECT_NE(group(a.out), "");
  EXPECT_EQ(both.out, "{\"turn\":1,\"groups\":[" + group(a.out) + "," + group(b.out) + "]}\n");
}

TEST(Host, AnEventForAnUnknownInstanceIsRefused) {
  const Served s = feed(
      "{\"wallUs\":5,\"turn\":4,\"groups\":[{\"supervisor\":9,\"input\":[{\"parted\":{\"sidecar\":1}}]}]}\n");
  EXPECT_EQ(s.code, 1);
  EXPECT_EQ(s.out, "");
  EXPECT_NE(s.err.find("batch 4: supervisor 9: event for an unknown instance"), std::string::npos) << s.err;
}

TEST(Host, ARetiredInstanceIsUnknownUntilItStartsAgain) {
  const std::string head = "{\"wallUs\":5,\"turn\":1,\"groups\":[";
  const std::string retire =
      "{\"wallUs\":6,\"turn\":2,\"groups\":[{\"supervisor\":1,\"input\":[{\"retire\":{}}]}]}\n";
  const std::string late =
      "{\"wallUs\":7,\"turn\":3,\"groups\":[{\"supervisor\":1,\"input\":[{\"parted\":{\"sidecar\":1}}]}]}\n";
  EXPECT_EQ(feed(head + start(1, 7) + "]}\n" + retire + late).code, 1);
  EXPECT_EQ(feed(head + start(1, 7) + "]}\n" + retire + head + start(1, 9) + "]}\n" + late).code, 0);
}

TEST(Host, ASliceThatDoesNotExistIsRefused) {
  const Served s = feed(
      "{\"wallUs\":5,\"turn\":1,\"groups\":[" + start(1, 7) +
      "]}\n{\"wallUs\":6,\"turn\":2,\"groups\":[{\"supervisor\":1,\"input\":[{\"charge\":{\"tbl\":4}}]}]}\n");
  EXPECT_EQ(s.code, 1);
  EXPECT_NE(s.err.find("batch 2"), std::string::npos) << s.err;
}

TEST(Host, MalformedInputEndsWithoutStrayOutput) {
  for (const char* line : {"nonsense\n", "{\"turn\":1}\n", "{\"wallUs\":5,\"turn\":1,\"groups\":[3]}\n"}) {
    const Served s = feed(line);
    EXPECT_EQ(s.code, 1) << line;
    EXPECT_EQ(s.out, "") << line;
    EXPECT_NE(s.err.find("batch"), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace peargrade::simulator
