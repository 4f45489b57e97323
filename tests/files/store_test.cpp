// The store over files that fail: at every operation of a scripted run, in every way, what was answered is
// there and nothing else than what was asked for.
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

TEST(Journal, TheLongestWholePrefixIsRecovered) {
  std::string bytes = "head";
  for (const char* payload : {"one", "", "three"}) bytes += framed(payload, 7, bytes.size());
  const Recovered all = recover(bytes, 7, 4);
  EXPECT_EQ(all.payloads, (std::vector<std::string>{"one", "", "three"}));
  EXPECT_EQ(all.dropped, 0u);
  for (std::size_t size = 4; size < bytes.size(); ++size) {
    const Recovered r = recover(bytes.substr(0, size), 7, 4);
    EXPECT_LT(r.payloads.size(), 3u);
    EXPECT_EQ(r.whole + r.dropped, size);
  }
  EXPECT_TRUE(recover(bytes, 8, 4).payloads.empty()) << "of another file";
  EXPECT_TRUE(recover(bytes.substr(4), 7, 0).payloads.empty()) << "of another place";
}

TEST(Journal, EveryFlippedBitIsSeen) {
  std::string bytes;
  for (const char* payload : {"one", "two", "three"}) bytes += framed(payload, 1, bytes.size());
  for (std::size_t bit = 0; bit < 8 * bytes.size(); ++bit) {
    std::string bad = bytes;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << bit % 8));
    const auto r = recover(bad, 1, 0);
    ASSERT_LT(r.payloads.size(), 3u) << bit;
    for (std::size_t k = 0; k < r.payloads.size(); ++k)
      EXPECT_EQ(r.payloads[k], (std::vector<std::string>{"one", "two", "three"})[k]);
  }
}

// The state is the sequence of numbers that were appended; a snapshot is the sequence so far.
std::string joined(const std::vector<std::string>& all) {
  std::string text;
  for (const std::string& s : all) text += s + " ";
  return text;
}

struct Played {
  std::vector<std::string> tried, answered;  // in order
};

std::string stateOf(const Store::Contents& c) { return c.snapshot + joined(c.changes); }

// Opens, appends, compacts, appends; a failed append is followed by a compaction of what was answered.
Played scripted(FaultyFiles& files, std::string& state) {
  Played run;
  Store store(files, "zone", 1);
  const Store::Contents c = store.open();
  state = stateOf(c);
  std::string held = state;
  if (c.found == Store::Found::Failed) return run;
  store.compact(held);
  for (int k = 0; k < 9; ++k) {
    const std::string change = "c" + std::to_string(k);
    run.tried.push_back(change);
    if (store.append(change)) {
      run.answered.push_back(change);
      held += change + " ";
    } else if (!files.down()) {
      store.compact(held);
    }
    if (k % 3 == 2) store.compact(held);
  }
  return run;
}

// What may stand after a crash: all that was answered, in order, and besides at most things that were tried.
void expectSound(const std::string& state, const Played& run, const std::string& what) {
  std::istringstream words(state);
  std::vector<std::string> there;
  for (std::string w; words >> w;) there.push_back(w);
  std::size_t next = 0, tried = 0;
  for (const std::string& w : there) {
    while (tried < run.tried.size() && run.tried[tried] != w) ++tried;
    ASSERT_LT(tried, run.tried.size())
        << what << ": '" << w << "' was never tried, or twice, in '" << state << "'";
    ++tried;
    if (next < run.answered.size() && run.answered[next] == w) ++next;
  }
  ASSERT_EQ(next, run.answered.size()) << what << ": an answered change is lost: '" << state << "'";
}

TEST(Store, EveryFaultAtEveryOperationKeepsWhatWasAnswered) {
  FaultyFiles good;
  std::string state;
  const Played whole = scripted(good, state);
  ASSERT_EQ(whole.answered.size(), 9u);
  const std::uint64_t operations = good.operations();
  ASSERT_GT(operations, 50u);
  int cases = 0;
  for (std::uint64_t at = 0; at < operations; ++at) {
    for (const Fault fault :
         {Fault::PowerBefore, Fault::PowerDuring, Fault::FullDisk, Fault::Error, Fault::ShortRead}) {
      for (const After after : {After::Lost, After::Kept, After::Torn, After::NamesLost, After::DataLost}) {
        FaultyFiles files;
        files.failAt(at, fault);
        const Played run = scripted(files, state);
        files.restart(after);
        files.failAt(UINT64_MAX, Fault::None);
        Store again(files, "zone", 1);
        const Store::Contents c = again.open();
        const std::string what = "operation " + std::to_string(at) + " fault " +
                                 std::to_string(static_cast<int>(fault)) + " after " +
                                 std::to_string(static_cast<int>(after));
        if (c.found == Store::Found::Nothing) {
          EXPECT_TRUE(run.answered.empty()) << what;
        } else {
          ASSERT_EQ(c.found, Store::Found::Whole) << what;
          expectSound(stateOf(c), run, what);
        }
        // And the store goes on from there.
        ASSERT_TRUE(again.compact(stateOf(c))) << what;
        ASSERT_TRUE(again.append("on")) << what;
        Store third(files, "zone", 1);
        EXPECT_EQ(stateOf(third.open()), stateOf(c) + "on ") << what;
        ++cases;
      }
    }
  }
  std::cout << operations << " operations, " << cases << " cases\n";
}

// A second crash while the first one is being recovered from.
TEST(Store, ACrashDuringRecoveryLosesNothing) {
  int cases = 0;
  for (std::uint64_t first = 8; first < 60; first += 3) {
    for (std::uint64_t second = 0; second < 24; ++second) {
      FaultyFiles files;
      std::string state;
      files.failAt(first, Fault::PowerDuring);
      const Played run = scripted(files, state);
      files.restart(After::Torn);
      files.failAt(files.operations() + second, Fault::PowerDuring);
      Store again(files, "zone", 1);
      const auto c = again.open();
      if (c.found != Store::Found::Failed) again.compact(stateOf(c));
      files.restart(After::Torn);
      files.failAt(UINT64_MAX, Fault::None);
      Store third(files, "zone", 1);
      const auto last = third.open();
      if (!run.answered.empty()) {
        ASSERT_EQ(last.found, Store::Found::Whole);
        expectSound(stateOf(last), run, std::to_string(first) + "/" + std::to_string(second));
      }
      ++cases;
    }
  }
  EXPECT_GT(cases, 300);
}

TEST(Store, EveryFlippedBitOfASnapshotIsSeenAndNothingIsOverwritten) {
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
    EXPECT_TRUE(c.found == Store::Found::Damaged || c.found == Store::Found::Newer) << bit;
    EXPECT_FALSE(again.compact("another"));
    EXPECT_FALSE(again.append("x"));
    files.flip(name, bit);
  }
  Store again(files, "zone", 1);
  EXPECT_EQ(again.open().snapshot, "the state");
}

TEST(Store, ANewerVersionIsLeftAloneAndAnOlderOneIsRead) {
  FaultyFiles files;
  Store two(files, "zone", 2);
  two.open();
  ASSERT_TRUE(two.compact("of version 2"));
  Store one(files, "zone", 1);
  const auto newer = one.open();
  EXPECT_EQ(newer.found, Store::Found::Newer);
  EXPECT_EQ(newer.version, 2u);
  EXPECT_FALSE(one.compact("x"));
  Store three(files, "zone", 3);
  const auto older = three.open();
  EXPECT_EQ(older.found, Store::Found::Whole);
  EXPECT_EQ(older.version, 2u);
}

TEST(Store, SeveralChangesWithOneSyncAreAllOrNone) {
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

TEST_F(RealFolder, IsUsedByOneProcessAndHasToBeOurs) {
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
  EXPECT_EQ(stateOf(store.open()), "sc ");
  chmod(path.c_str(), 0777);
  EXPECT_EQ(openFolder(path, false, o), nullptr);
  EXPECT_EQ(openFolder(path + "/none", false, o), nullptr);
  EXPECT_TRUE(o.missing);
}

// A real process killed at random points: what it told of through a pipe is there, and the lock is free.
TEST_F(RealFolder, AKilledProcessLosesNothingThatItAnswered) {
  constexpr int kKills = 60;
  std::mt19937 random(20261201);
  int answered = 0;  // the greatest that was answered
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
    // Killed after so many answers, and then somewhere in the middle of the next.
    const int wanted = static_cast<int>(random() % 12);
    int told = 0, count = 0;
    while (count < wanted && read(ends[0], &told, sizeof told) == sizeof told) {
      ++count;
      ASSERT_GT(told, answered) << "what was answered before is known";
      answered = told;
    }
    usleep(random() % 300);
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status)) << "it ended by itself with " << WEXITSTATUS(status);
    while (read(ends[0], &told, sizeof told) == sizeof told) answered = std::max(answered, told);
    close(ends[0]);
  }
  Outcome o;
  const auto files = openFolder(path, true, o);
  ASSERT_NE(files, nullptr) << "the lock went with the process";
  Store store(*files, "n", 1);
  const auto c = store.open();
  ASSERT_EQ(c.found, Store::Found::Whole);
  const int last = c.changes.empty() ? std::stoi(c.snapshot) : std::stoi(c.changes.back());
  EXPECT_GE(last, answered);
  EXPECT_LE(last, answered + 1);
}

}  // namespace
}  // namespace peargrade::files
