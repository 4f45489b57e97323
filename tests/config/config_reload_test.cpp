// The parts of a configuration that a reload compares: fields that need a restart, version and content hash.
#include <gtest/gtest.h>

#include "config_fixture.h"

namespace peargrade::config {
namespace {

TEST(ConfigReload, FieldsThatNeedARestartAreNamed) {
  const Config current = parseWith(kValidConfig);
  const auto changed = [&](const std::string& part, const std::string& replacement) {
    return fieldsNeedingRestart(current, parseWith(replaced(part, replacement)));
  };
  EXPECT_TRUE(changed("127.2.0.2:6400", "127.2.0.3:6400").empty());
  EXPECT_EQ(changed("\"n3\"", "\"n4\""), std::vector<std::string>{"name"});
  EXPECT_EQ(changed("127.0.0.4:3000", "127.0.0.5:3000"), std::vector<std::string>{"listen"});
  EXPECT_EQ(changed("\"memory_mb\":192", "\"memory_mb\":64"), std::vector<std::string>{"limits"});
  EXPECT_EQ(changed("\"shards\":12", "\"shards\":13"), std::vector<std::string>{"settings"});
}

TEST(ConfigReload, VersionIsAWholeNumberOrInvalid) {
  EXPECT_FALSE(parseWith(kValidConfig).version.has_value());
  const Config seven = parseWith(withVersion("7"));
  EXPECT_EQ(seven.version, 7);
  EXPECT_FALSE(seven.versionIsInvalid);
  for (const char* const invalid : {"-1", "1.5", "\"7\"", "[]", "99999999999999999999"})
    EXPECT_TRUE(parseWith(withVersion(invalid)).versionIsInvalid) << invalid;
}

TEST(ConfigReload, ContentHashCoversTheFieldsThatAReloadApplies) {
  const std::uint64_t hash = parseWith(kValidConfig).contentHash;
  EXPECT_EQ(parseWith(withVersion("7")).contentHash, hash) << "the version is not content";
  EXPECT_EQ(parseWith(replaced("\"known\":{", "\"known\": {")).contentHash, hash);
  EXPECT_EQ(parseWith(replaced("8c1f30d27a5be964", "1")).contentHash, hash) << "applied at the start only";
  EXPECT_EQ(parseWith(kValidConfig, {{"NODE_DISCOVERY", "127.2.0.9:1"}}).contentHash, hash)
      << "the hash covers the file, not the environment";
  for (const auto& [part, replacement] :
       {std::pair{"127.2.0.1:8500", "127.2.0.9:8500"}, std::pair{"127.2.0.2:6400", "127.2.0.9:6400"},
        std::pair{"\"aimUs\":800000", "\"aimUs\":900000"}})
    EXPECT_NE(parseWith(replaced(part, replacement)).contentHash, hash) << part;
}

}  // namespace
}  // namespace peargrade::config
