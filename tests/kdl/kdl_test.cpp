// The KDL parser: the syntax of KDL version 1, and errors that name their position.
#include "kdl/kdl.h"

#include <gtest/gtest.h>

#include <random>

namespace peargrade::kdl {
namespace {

// Parses a valid document with a single node.
Node parseSingleNode(const std::string& text) {
  const Document d = parse(text);
  EXPECT_TRUE(d.problems.empty()) << text << ": " << d.problems.at(0).expected;
  EXPECT_EQ(d.nodes.size(), 1u) << text;
  return d.nodes.empty() ? Node{} : d.nodes[0];
}

TEST(Kdl, ValuesOfEveryKind) {
  const Node n =
      parseSingleNode("n \"a\\n\\u{e9}\\\"\" 1_000 -0x1F 0o17 0b101 1.5e3 true null (ms)\"5\" r#\"x\"y\"#");
  ASSERT_EQ(n.arguments.size(), 10u);
  EXPECT_EQ(n.arguments[0].text, "a\n\xC3\xA9\"");
  EXPECT_EQ(n.arguments[1].integer, 1000);
  EXPECT_EQ(n.arguments[2].integer, -31);
  EXPECT_EQ(n.arguments[3].integer, 15);
  EXPECT_EQ(n.arguments[4].integer, 5);
  EXPECT_EQ(n.arguments[5].kind, Value::Kind::Float);
  EXPECT_EQ(n.arguments[5].number, 1500);
  EXPECT_TRUE(n.arguments[6].boolean);
  EXPECT_EQ(n.arguments[7].kind, Value::Kind::Null);
  EXPECT_EQ(n.arguments[8].type, "ms");
  EXPECT_EQ(n.arguments[9].text, "x\"y");
}

TEST(Kdl, NodesPropertiesChildrenAndPositions) {
  const Document d =
      parse("// first\na \"x\" k=1 \"quoted key\"=2 {\n  b; c /* in /* nested */ */ 7\n}\n(t)e \\\n  3\n");
  ASSERT_TRUE(d.problems.empty()) << d.problems[0].expected;
  ASSERT_EQ(d.nodes.size(), 2u);
  const Node& a = d.nodes[0];
  EXPECT_EQ(a.place.line, 2u);
  ASSERT_EQ(a.properties.size(), 2u);
  EXPECT_EQ(a.properties[1].name, "quoted key");
  EXPECT_EQ(a.properties[0].place.column, 7u);
  ASSERT_EQ(a.children.size(), 2u);
  EXPECT_EQ(a.children[1].arguments.at(0).integer, 7);
  EXPECT_EQ(a.children[1].place.line, 3u);
  EXPECT_EQ(a.children[1].place.column, 6u);
  EXPECT_EQ(d.nodes[1].type, "t");
  EXPECT_EQ(d.nodes[1].arguments.at(0).integer, 3);
}

TEST(Kdl, SlashdashRemovesNodesValuesAndChildren) {
  const Document d = parse("/-gone 1 { x }\na /-1 2 /-k=3 /-{ b }\n");
  ASSERT_TRUE(d.problems.empty()) << d.problems[0].expected;
  ASSERT_EQ(d.nodes.size(), 1u);
  EXPECT_EQ(d.nodes[0].arguments.size(), 1u);
  EXPECT_TRUE(d.nodes[0].properties.empty());
  EXPECT_TRUE(d.nodes[0].children.empty());
}

TEST(Kdl, EmptyDocumentsAndLinesAreValid) {
  for (const char* text : {"", "\n\n", "// only\n", "\xEF\xBB\xBF", "a", "a;b;", "a{}", "a {}\r\n"})
    EXPECT_TRUE(parse(text).problems.empty()) << text;
}

struct SyntaxError {
  const char* name;
  const char* text;
  std::size_t line;
  std::size_t column;
  const char* found;
  const char* expected;
};
class KdlSyntaxError : public testing::TestWithParam<SyntaxError> {};

TEST_P(KdlSyntaxError, HasPositionFoundAndExpected) {
  const Document d = parse(GetParam().text);
  ASSERT_EQ(d.problems.size(), 1u);
  EXPECT_EQ(d.problems[0].place.line, GetParam().line);
  EXPECT_EQ(d.problems[0].place.column, GetParam().column);
  EXPECT_EQ(d.problems[0].found, GetParam().found);
  EXPECT_NE(d.problems[0].expected.find(GetParam().expected), std::string::npos) << d.problems[0].expected;
}

INSTANTIATE_TEST_SUITE_P(
    All, KdlSyntaxError,
    testing::Values(
        SyntaxError{"UnquotedString", "a\nmode fast\n", 2, 6, "'fast'", "a string must be quoted"},
        SyntaxError{"UnitWithoutQuotes", "wait 5s\n", 1, 7, "'s'", "number with its unit"},
        SyntaxError{"UnclosedBrace", "a {\n b\n", 3, 1, "the end of the file", "a node or }"},
        SyntaxError{"UnclosedString", "a \"x\n", 2, 1, "the end of the file", "end of the string"},
        SyntaxError{"UnclosedRawString", "a r#\"x\"\n", 1, 3, "'r#\"x\"'", "raw string"},
        SyntaxError{"InvalidEscape", "a \"\\q\"\n", 1, 5, "'q\"'", "one of \\n"},
        SyntaxError{"SurrogateEscape", "a \"\\u{D800}\"\n", 1, 7, "'D800'", "scalar"},
        SyntaxError{"UnclosedComment", "a /* b\n", 2, 1, "the end of the file", "end of the comment"},
        SyntaxError{"MissingValue", "a k= \n", 1, 5, "' '", "a value"},
        SyntaxError{"StrayBrace", "a\n}\n", 2, 1, "'}'", "a node"},
        SyntaxError{"NumberAsName", "12 a\n", 1, 1, "'12'", "a node"},
        SyntaxError{"NumberOutOfRange", "a 99999999999999999999\n", 1, 3, "'99999999999999999999'",
                    "64 bits"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(Kdl, AllErrorsAreReportedAndValidNodesKept) {
  const Document d = parse("good 1\nbad one {\n  x\n}\ngood 2\nbad k=\ngood 3\n");
  ASSERT_EQ(d.problems.size(), 2u);
  EXPECT_EQ(d.problems[0].place.line, 2u);
  EXPECT_EQ(d.problems[1].place.line, 6u);
  ASSERT_EQ(d.nodes.size(), 3u);
  EXPECT_EQ(d.nodes[2].place.line, 7u);
  EXPECT_EQ(d.nodes[2].arguments.at(0).integer, 3);
}

TEST(Kdl, NestingDepthAndSizeAreLimited) {
  std::string deep;
  for (int k = 0; k < 100000; ++k) deep += "a {";
  ASSERT_EQ(parse(deep).problems.size(), 1u);
  EXPECT_NE(parse(deep).problems[0].expected.find("32 levels"), std::string::npos);
  std::string comment;
  for (int k = 0; k < 100000; ++k) comment += "/*";
  EXPECT_FALSE(parse(comment).problems.empty());
  EXPECT_EQ(parse(std::string(kDocumentBytesMax + 1, ' ')).problems.at(0).expected, "at most 1 MiB");
}

// Random changes of a valid document only lead to errors, each with a position, the text found and the text
// expected.
TEST(Kdl, RandomChangesLeadToNothingButErrors) {
  const std::string valid = "a \"x\\n\" k=(t)1.5 { b r#\"y\"#; /-c 0x1f }\n/* c */ d true\n";
  std::mt19937 random(7);
  int errors = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text = valid;
    for (unsigned k = 1 + random() % 4; k > 0; --k)
      text[random() % text.size()] = static_cast<char>(random() % 256);
    for (const Problem& problem : parse(text).problems) {
      ++errors;
      EXPECT_GE(problem.place.line, 1u);
      EXPECT_FALSE(problem.found.empty());
      EXPECT_FALSE(problem.expected.empty());
    }
  }
  EXPECT_GT(errors, 1000);
}

}  // namespace
}  // namespace peargrade::kdl
