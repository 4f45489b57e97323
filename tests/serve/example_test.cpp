// Tests the documented example: the demo and the supervisor share one configuration file.
#include <gtest/gtest.h>

#include "serve_fixture.h"

namespace peargrade {
namespace {

TEST(Example, DemoShowsTheRoutesOfTheSupervisor) {
  const std::string host = ownHost();
  std::string text = replaced(exampleConfig(), "127.0.0.1:3000", host + ":3001");
  text = replaced(text, "127.0.0.1:8500", host + ":8500");
  text = replaced(text, "127.0.0.1:6400", host + ":6400");
  const WrittenConfig file(text);
  Program demo({PEARGRADE_DEMO, "-c", file.path});
  Program supervisor({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  Loop loop;
  EXPECT_TRUE(loop.until([&] { return hasWritten(demo, "update: put,"); }))
      << demo.output() << supervisor.output();
  EXPECT_FALSE(demo.ended());
  EXPECT_FALSE(supervisor.ended());
  supervisor.signal(SIGTERM);
  EXPECT_EQ(supervisor.wait(), 0) << supervisor.output();
}

}  // namespace
}  // namespace peargrade
