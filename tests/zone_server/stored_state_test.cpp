// Compatibility with stored state of format version 1. The sample was written by the program of commit
// 0e4fe96 after five signed updates, a restart and one more update. Every later version must open it.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "zone_server/disk.h"

namespace peargrade::zone_server {
namespace {

std::string readBytes(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Copies the sample to a folder that only this user can access, as the store requires.
class StoredState : public testing::Test {
 protected:
  StoredState() {
    std::filesystem::remove_all(zone_.state);
    std::filesystem::create_directory(zone_.state);
    chmod(zone_.state.c_str(), 0700);
    for (const auto& entry : std::filesystem::directory_iterator(PEARGRADE_STORED_STATE)) {
      const std::string copy = zone_.state + "/" + entry.path().filename().string();
      std::filesystem::copy_file(entry.path(), copy);
      chmod(copy.c_str(), 0600);
    }
  }
  ~StoredState() override { std::filesystem::remove_all(zone_.state); }

  static op::Zone sampleZone() {
    op::Zone zone;
    zone.label = "orders";
    zone.origin = "example.org";
    zone.state = testing::TempDir() + "peargrade_stored_state_" + std::to_string(getpid());
    return zone;
  }

  const op::Zone zone_ = sampleZone();
};

TEST_F(StoredState, OpensWithItsRecordsRequestsAndTimes) {
  DiskStore disk;
  const StoredZone stored = openStore(zone_, disk);
  EXPECT_FALSE(stored.damaged);
  EXPECT_TRUE(stored.errors.empty());
  EXPECT_TRUE(stored.notes.empty());
  ASSERT_TRUE(stored.snapshot);

  const dns_zone::Zone& zone = stored.snapshot->zone;
  EXPECT_EQ(zone.origin(), "example.org");
  for (const char* host : {"bello-0.example.org", "bello-2.example.org", "bello-3.example.org"}) {
    EXPECT_NE(zone.find(host, dns_zone::Type::A), nullptr) << host;
    EXPECT_NE(zone.find(host, dns_zone::Type::TXT), nullptr) << host;
  }
  EXPECT_EQ(zone.find("bello-1.example.org", dns_zone::Type::A), nullptr) << "an update deleted it";
  const dns_zone::Zone::Set* services = zone.find("_o._tcp.example.org", dns_zone::Type::SRV);
  ASSERT_NE(services, nullptr);
  EXPECT_EQ(services->ttl, 60U);
  EXPECT_EQ(services->data.size(), 3U);
  EXPECT_EQ(stored.snapshot->requests.size(), 5U);
  EXPECT_EQ(stored.snapshot->firstSeen.size(), 3U);

  ASSERT_EQ(stored.entries.size(), 1U);
  EXPECT_EQ(stored.entries[0].request.rcode, dns_zone::Rcode::NoError);
  EXPECT_GT(stored.entries[0].request.until, stored.entries[0].request.at);
}

TEST_F(StoredState, IsEncodedToTheSameBytes) {
  DiskStore disk;
  const StoredZone stored = openStore(zone_, disk);
  ASSERT_TRUE(stored.snapshot);
  const dns_zone::Snapshot& snapshot = *stored.snapshot;
  const std::string encoded =
      dns_zone::encodeSnapshot(snapshot.zone, snapshot.requests, snapshot.firstSeen, snapshot.freshAt);
  EXPECT_NE(readBytes(zone_.state + "/orders.2.snapshot").find(encoded), std::string::npos);
  ASSERT_EQ(stored.entries.size(), 1U);
  EXPECT_NE(
      readBytes(zone_.state + "/orders.2.journal").find(dns_zone::encodeJournalEntry(stored.entries[0])),
      std::string::npos);
}

}  // namespace
}  // namespace peargrade::zone_server
