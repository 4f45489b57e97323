// The store with injected faults: after each kind of fault at each operation of a scripted run, every
// acknowledged change is present, and no change that was never requested is.
#include "files/store.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>

#include "fakes/faulty_files.h"
#include "files/journal.h"

namespace peargrade::files {
namespace {

using fakes::FaultyFiles;
using Fault = FaultyFiles::Fault;
using After = FaultyFiles::After;

TEST(Journal, DecodesRecordsUpToTheFirstIncompleteOne) {
  std::string bytes = "head";
  for (const char* payload : {"one", "", "three"}) bytes += encodeRecord(payload, 7, bytes.size());
  const DecodedRecords all = decodeRecords(bytes, 7, 4);
  EXPECT_EQ(all.payloads, (std::vector<std::string>{"one", "", "three"}));
  EXPECT_EQ(all.droppedBytes, 0u);
  for (std::size_t size = 4; size < bytes.size(); ++size) {
    const DecodedRecords records = decodeRecords(bytes.substr(0, size), 7, 4);
    EXPECT_LT(records.payloads.size(), 3u);
    EXPECT_EQ(records.validBytes + records.droppedBytes, size);
  }
  EXPECT_TRUE(decodeRecords(bytes, 8, 4).payloads.empty()) << "the file number differs";
  EXPECT_TRUE(decodeRecords(bytes.substr(4), 7, 0).payloads.empty()) << "the offset differs";
}

TEST(Journal, DetectsEveryFlippedBit) {
  std::string bytes;
  for (const char* payload : {"one", "two", "three"}) bytes += encodeRecord(payload, 1, bytes.size());
  for (std::size_t bit = 0; bit < 8 * bytes.size(); ++bit) {
    std::string corrupted = bytes;
    corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << bit % 8));
    const auto records = decodeRecords(corrupted, 1, 0);
    ASSERT_LT(records.payloads.size(), 3u) << bit;
    for (std::size_t k = 0; k < records.payloads.size(); ++k)
      EXPECT_EQ(records.payloads[k], (std::vector<std::string>{"one", "two", "three"})[k]);
  }
}

// The state is the sequence of appended changes, each followed by a space. A snapshot is the sequence so far.
std::string joinChanges(const std::vector<std::string>& all) {
  std::string text;
  for (const std::string& s : all) text += s + " ";
  return text;
}

struct RunRecord {
  std::vector<std::string> requested;     // in order
  std::vector<std::string> acknowledged;  // in order
};

std::string formatState(const Store::Contents& c) { return c.snapshot + joinChanges(c.changes); }

// Opens, compacts, appends and compacts again. After a failed append it compacts the acknowledged changes.
RunRecord runScript(FaultyFiles& files, std::string& state) {
  RunRecord run;
  Store store(files, "zone", 1);
  const Store::Contents c = store.open();
  state = formatState(c);
  std::string acknowledgedState = state;
  if (c.status == Store::OpenStatus::ReadFailed) return run;
  store.compact(acknowledgedState);
  for (int k = 0; k < 9; ++k) {
    const std::string change = "c" + std::to_string(k);
    run.requested.push_back(change);
    if (store.append(change)) {
      run.acknowledged.push_back(change);
      acknowledgedState += change + " ";
    } else if (!files.down()) {
      store.compact(acknowledgedState);
    }
    if (k % 3 == 2) store.compact(acknowledgedState);
  }
  return run;
}

// After a crash the state holds every acknowledged change, in order, and otherwise only requested changes.
void expectConsistent(const std::string& state, const RunRecord& run, const std::string& what) {
  std::istringstream words(state);
  std::vector<std::string> found;
  for (std::string w; words >> w;) found.push_back(w);
  std::size_t next = 0, requested = 0;
  for (const std::string& w : found) {
    while (requested < run.requested.size() && run.requested[requested] != w) ++requested;
    ASSERT_LT(requested, run.requested.size())
        << what << ": '" << w << "' was not requested, or is there twice, in '" << state << "'";
    ++requested;
    if (next < run.acknowledged.size() && run.acknowledged[next] == w) ++next;
  }
  ASSERT_EQ(next, run.acknowledged.size()) << what << ": an acknowledged change is lost: '" << state << "'";
}

TEST(Store, KeepsAcknowledgedChangesAfterEveryFaultAtEveryOperation) {
  FaultyFiles good;
  std::string state;
  const RunRecord faultless = runScript(good, state);
  ASSERT_EQ(faultless.acknowledged.size(), 9u);
  const std::uint64_t operations = good.operations();
  ASSERT_GT(operations, 50u);
  int cases = 0;
  for (std::uint64_t at = 0; at < operations; ++at) {
    for (const Fault fault :
         {Fault::PowerBefore, Fault::PowerDuring, Fault::FullDisk, Fault::Error, Fault::ShortRead}) {
      for (const After after : {After::Lost, After::Kept, After::Torn, After::NamesLost, After::DataLost}) {
        FaultyFiles files;
        files.failAt(at, fault);
        const RunRecord run = runScript(files, state);
        files.restart(after);
        files.failAt(UINT64_MAX, Fault::None);
        Store again(files, "zone", 1);
        const Store::Contents c = again.open();
        const std::string what = "operation " + std::to_string(at) + " fault " +
                                 std::to_string(static_cast<int>(fault)) + " after " +
                                 std::to_string(static_cast<int>(after));
        if (c.status == Store::OpenStatus::Empty) {
          EXPECT_TRUE(run.acknowledged.empty()) << what;
        } else {
          ASSERT_EQ(c.status, Store::OpenStatus::Complete) << what;
          expectConsistent(formatState(c), run, what);
        }
        // The store remains usable after the recovery.
        ASSERT_TRUE(again.compact(formatState(c))) << what;
        ASSERT_TRUE(again.append("on")) << what;
        Store third(files, "zone", 1);
        EXPECT_EQ(formatState(third.open()), formatState(c) + "on ") << what;
        ++cases;
      }
    }
  }
  std::cout << operations << " operations, " << cases << " cases\n";
}

// A second crash interrupts the recovery from the first.
TEST(Store, CrashDuringRecoveryLosesNoAcknowledgedChange) {
  int cases = 0;
  for (std::uint64_t first = 8; first < 60; first += 3) {
    for (std::uint64_t second = 0; second < 24; ++second) {
      FaultyFiles files;
      std::string state;
      files.failAt(first, Fault::PowerDuring);
      const RunRecord run = runScript(files, state);
      files.restart(After::Torn);
      files.failAt(files.operations() + second, Fault::PowerDuring);
      Store again(files, "zone", 1);
      const auto c = again.open();
      if (c.status != Store::OpenStatus::ReadFailed) again.compact(formatState(c));
      files.restart(After::Torn);
      files.failAt(UINT64_MAX, Fault::None);
      Store third(files, "zone", 1);
      const auto last = third.open();
      if (!run.acknowledged.empty()) {
        ASSERT_EQ(last.status, Store::OpenStatus::Complete);
        expectConsistent(formatState(last), run, std::to_string(first) + "/" + std::to_string(second));
      }
      ++cases;
    }
  }
  EXPECT_GT(cases, 300);
}

TEST(Store, DetectsEveryFlippedBitOfASnapshotAndOverwritesNothing) {
  FaultyFiles files;
  Store store(files, "zone", 1);
  store.open();
  ASSERT_TRUE(store.compact("the state"));
  const std::string name = "zone.1.snapshot";
  const std::size_t bits = 8 * files.contents().at(name).size();
  for (std::size_t bit = 0; bit < bits; ++bit) {
    files.flip(name, bit);
    Store again(files, "zone", 1);
    const auto c = again.open();
    EXPECT_TRUE(c.status == Store::OpenStatus::Damaged || c.status == Store::OpenStatus::NewerVersion) << bit;
    EXPECT_FALSE(again.compact("another"));
    EXPECT_FALSE(again.append("x"));
    files.flip(name, bit);
  }
  Store again(files, "zone", 1);
  EXPECT_EQ(again.open().snapshot, "the state");
}

TEST(Store, KeepsFilesOfANewerVersionUnchangedAndReadsAnOlderOne) {
  FaultyFiles files;
  Store two(files, "zone", 2);
  two.open();
  ASSERT_TRUE(two.compact("of version 2"));
  Store one(files, "zone", 1);
  const auto newer = one.open();
  EXPECT_EQ(newer.status, Store::OpenStatus::NewerVersion);
  EXPECT_EQ(newer.version, 2u);
  EXPECT_FALSE(one.compact("x"));
  Store three(files, "zone", 3);
  const auto older = three.open();
  EXPECT_EQ(older.status, Store::OpenStatus::Complete);
  EXPECT_EQ(older.version, 2u);
}

TEST(Store, AppendsSeveralChangesWithOneSync) {
  FaultyFiles files;
  Store store(files, "zone", 1);
  store.open();
  store.compact("");
  const std::uint64_t before = files.operations();
  ASSERT_TRUE(store.append(std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(files.operations(), before + 2);
  Store again(files, "zone", 1);
  EXPECT_EQ(again.open().changes.size(), 3u);
}

struct RealFolder : testing::Test {
  std::string path = testing::TempDir() + "peargrade_store_" + std::to_string(getpid());
  RealFolder() {
    std::filesystem::remove_all(path);
    std::filesystem::create_directory(path);
    chmod(path.c_str(), 0700);
  }
  ~RealFolder() override { std::filesystem::remove_all(path); }
};

TEST_F(RealFolder, IsLockedToOneProcessAndMustBeOwnedByTheUser) {
  Outcome o;
  {
    const auto one = openFolder(path, true, o);
    ASSERT_NE(one, nullptr) << o.why;
    EXPECT_EQ(openFolder(path, true, o), nullptr);
    EXPECT_NE(o.why.find("another process"), std::string::npos);
    Store store(*one, "zone", 1);
    store.open();
    ASSERT_TRUE(store.compact("s"));
    ASSERT_TRUE(store.append("c"));
  }
  const auto again = openFolder(path, true, o);
  ASSERT_NE(again, nullptr) << o.why;
  Store store(*again, "zone", 1);
  EXPECT_EQ(formatState(store.open()), "sc ");
  chmod(path.c_str(), 0777);
  EXPECT_EQ(openFolder(path, false, o), nullptr);
  EXPECT_EQ(openFolder(path + "/none", false, o), nullptr);
  EXPECT_TRUE(o.missing);
}

// A process is killed at random points. Every change that it reported through a pipe is present afterwards,
// and the lock is free.
TEST_F(RealFolder, KilledProcessLosesNoAcknowledgedChange) {
  constexpr int kKills = 60;
  std::mt19937 random(20261201);
  int acknowledged = 0;  // the greatest acknowledged number
  for (int round = 0; round < kKills; ++round) {
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const pid_t child = fork();
    if (child == 0) {
      close(ends[0]);
      Outcome o;
      const auto files = openFolder(path, true, o);
      if (!files) _exit(3);
      Store store(*files, "n", 1);
      const auto c = store.open();
      int last = c.snapshot.empty() ? 0 : std::stoi(c.snapshot);
      for (const std::string& change : c.changes) last = std::stoi(change);
      if (!store.compact(std::to_string(last))) _exit(4);
      for (;;) {
        ++last;
        if (!store.append(std::to_string(last))) _exit(5);
        if (write(ends[1], &last, sizeof last) != sizeof last) _exit(6);
        if (last % 7 == 0 && !store.compact(std::to_string(last))) _exit(7);
      }
    }
    close(ends[1]);
    // Kill the child after this number of acknowledgements, at a random point of the next append.
    const int acknowledgements = static_cast<int>(random() % 12);
    int reported = 0, count = 0;
    while (count < acknowledgements && read(ends[0], &reported, sizeof reported) == sizeof reported) {
      ++count;
      ASSERT_GT(reported, acknowledged) << "numbers acknowledged before the restart are not reused";
      acknowledged = reported;
    }
    usleep(random() % 300);
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status)) << "the child ended by itself with exit code " << WEXITSTATUS(status);
    while (read(ends[0], &reported, sizeof reported) == sizeof reported)
      acknowledged = std::max(acknowledged, reported);
    close(ends[0]);
  }
  Outcome o;
  const auto files = openFolder(path, true, o);
  ASSERT_NE(files, nullptr) << "the lock of a killed process is released";
  Store store(*files, "n", 1);
  const auto c = store.open();
  ASSERT_EQ(c.status, Store::OpenStatus::Complete);
  const int last = c.changes.empty() ? std::stoi(c.snapshot) : std::stoi(c.changes.back());
  EXPECT_GE(last, acknowledged);
  EXPECT_LE(last, acknowledged + 1);
}

}  // namespace
}  // namespace peargrade::files
