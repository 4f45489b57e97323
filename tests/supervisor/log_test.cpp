// The log: level filter, slow reader, and codes of close reasons.
#include "log/log.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "support/loop.h"

namespace peargrade::log {
namespace {

TEST(Log, FiltersByLevelAndWritesOneLinePerMessage) {
  ReadLog read;
  Log filtered(read.ends[1], Level::Warn);
  filtered.info("x") << "not this";
  filtered.warn("x") << "this\r\nand \x01 that";
  filtered.flush();
  EXPECT_EQ(read.count("\n"), 1u);
  EXPECT_TRUE(read.has(" warn x: this??and ? that\n")) << read.text;
  EXPECT_EQ(levelNamed("warn"), Level::Warn);
  EXPECT_FALSE(levelNamed("loud").has_value());
}

// The log drops and counts lines while its reader is stalled.
TEST(Log, StalledReaderLosesLinesWithoutBlockingTheProgram) {
  ReadLog read;
  for (int k = 0; k < 20000; ++k) {
    read.log->info("x") << "line " << k << std::string(100, '.');
    read.log->flush();
  }
  EXPECT_GT(read.log->dropped(), 10000u);
  read.read();
  read.log->info("x") << "after";
  EXPECT_TRUE(read.has("lines lost to a slow reader"));
  EXPECT_TRUE(read.has("x: after"));
}

TEST(Log, EveryReasonHasADistinctCode) {
  std::set<std::string> codes;
  for (int k = 0; k <= static_cast<int>(CloseReason::Stopping); ++k)
    codes.insert(code(static_cast<CloseReason>(k)));
  EXPECT_EQ(codes.size(), static_cast<std::size_t>(CloseReason::Stopping) + 1);
  EXPECT_EQ(codes.count("unknown"), 0u);
}

}  // namespace
}  // namespace peargrade::log
