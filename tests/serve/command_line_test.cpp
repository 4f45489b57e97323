// Tests of the command line: version, help, usage errors, and the `check` command.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "serve_fixture.h"

namespace peargrade {
namespace {

TEST(CommandLine, VersionHasThreeNumbers) {
  Program version({PEARGRADE_PROGRAM, "version"});
  EXPECT_EQ(version.wait(), 0);
  int major = -1;
  int minor = -1;
  int patch = -1;
  EXPECT_EQ(std::sscanf(version.output().c_str(), "peargrade %d.%d.%d", &major, &minor, &patch), 3)
      << version.output();
}

TEST(CommandLine, HelpNamesTheCommands) {
  Program help({PEARGRADE_PROGRAM, "--help"});
  EXPECT_EQ(help.wait(), 0);
  for (const char* command : {"serve", "check", "version"}) EXPECT_TRUE(hasWritten(help, command)) << command;
}

class InvalidCommandLine : public testing::TestWithParam<std::vector<std::string>> {};

TEST_P(InvalidCommandLine, ExitsWithAnErrorThatRefersToHelp) {
  std::vector<std::string> command{PEARGRADE_PROGRAM};
  command.insert(command.end(), GetParam().begin(), GetParam().end());
  Program program(command);
  EXPECT_GT(program.wait(), 0);
  EXPECT_TRUE(hasWritten(program, "--help")) << program.output();
}

INSTANTIATE_TEST_SUITE_P(Arguments, InvalidCommandLine,
                         testing::Values(std::vector<std::string>{}, std::vector<std::string>{"what"},
                                         std::vector<std::string>{"serve"},
                                         std::vector<std::string>{"serve", "-c", "x", "--log-level", "loud"}),
                         [](const auto& info) { return "Number" + std::to_string(info.index); });

// ---- check ----

TEST(CheckCommand, PrintsASummaryOfTheConfiguration) {
  Program program({PEARGRADE_PROGRAM, "check", "-c", PEARGRADE_EXAMPLE_CONFIG});
  EXPECT_EQ(program.wait(), 0);
  EXPECT_TRUE(hasWritten(program, "listen     127.0.0.1:3000")) << program.output();
  EXPECT_TRUE(hasWritten(program, "8 slices, 2 zones")) << program.output();
}

TEST(CheckCommand, OptionsOverrideTheEnvironmentWhichOverridesTheFile) {
  const std::vector<std::string> environment{"NODE_CONFIG=" PEARGRADE_EXAMPLE_CONFIG,
                                             "NODE_LISTEN=127.0.0.5:9"};
  Program fromEnvironment({PEARGRADE_PROGRAM, "check"}, environment);
  EXPECT_EQ(fromEnvironment.wait(), 0);
  EXPECT_TRUE(hasWritten(fromEnvironment, "listen     127.0.0.5:9")) << fromEnvironment.output();
  Program fromOption({PEARGRADE_PROGRAM, "check", "--listen", "127.0.0.6:9"}, environment);
  EXPECT_EQ(fromOption.wait(), 0);
  EXPECT_TRUE(hasWritten(fromOption, "listen     127.0.0.6:9")) << fromOption.output();
}

TEST(CheckCommand, ReadsBothFilesTogether) {
  Program program(
      {PEARGRADE_PROGRAM, "check", "-c", PEARGRADE_EXAMPLE_CONFIG, "--operator", PEARGRADE_EXAMPLE_OPERATOR});
  EXPECT_EQ(program.wait(), 0) << program.output();
  EXPECT_TRUE(hasWritten(program, "orders: _orders._tcp.example.org, 2 places")) << program.output();
}

TEST(CheckCommand, PrintsTheTableOfOperatorSettings) {
  Program program({PEARGRADE_PROGRAM, "check", "--settings"});
  EXPECT_EQ(program.wait(), 0);
  EXPECT_TRUE(hasWritten(program, "sources.merge.step-every")) << program.output();
}

// ---- Invalid files: `check` and `serve` report the same errors ----

class InvalidFile : public testing::TestWithParam<const char*> {};

TEST_P(InvalidFile, InvalidConfigurationIsReportedWithItsField) {
  const WrittenConfig file(replaced(exampleConfig(), "127.0.0.1:8500", "nowhere"));
  Program program({PEARGRADE_PROGRAM, GetParam(), "-c", file.path});
  EXPECT_EQ(program.wait(), 2);
  EXPECT_TRUE(hasWritten(program, "\ndiscovery: 'nowhere' is no address")) << program.output();
}

// All errors of the operator's file are reported in one run, before any socket listens.
TEST_P(InvalidFile, InvalidOperatorFileIsReportedWithLineAndColumn) {
  const Written file("_operator.kdl", "version 1\nsources {\n  dns { try 400; }\n  roster false\n}\n");
  Program program({PEARGRADE_PROGRAM, GetParam(), "-c", PEARGRADE_EXAMPLE_CONFIG},
                  {"PEARGRADE_OPERATOR=" + file.path});
  EXPECT_EQ(program.wait(), 2);
  EXPECT_TRUE(
      hasWritten(program, file.path + ":3:13: sources.dns.try: found 400, expected a duration with its unit"))
      << program.output();
  EXPECT_TRUE(hasWritten(program, file.path + ":4:10: sources.roster: found")) << program.output();
}

INSTANTIATE_TEST_SUITE_P(Commands, InvalidFile, testing::Values("check", "serve"),
                         [](const auto& info) { return std::string(info.param); });

}  // namespace
}  // namespace peargrade
