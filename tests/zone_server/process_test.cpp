// The supervisor as a process with a zone of its own and fakes for the other parts: a rolling deploy by
// dynamic updates, and a process killed at random points. SliceCoverage checks the routing tables that the
// relay receives.
#include <gtest/gtest.h>

#include <random>

#include "deploy_fixture.h"

namespace peargrade {
namespace {

// Updates replace the servers one by one: each successor is cold, and the old server drains.
TEST_F(Deploy, RollingDeployByUpdatesKeepsSlicesCovered) {
  start();
  std::string all;
  for (int k = 0; k < 6; ++k) {
    all += add(k);
    coverage.runs(endpointOf(k));
  }
  ASSERT_EQ(update(all), 0) << program->output();
  awaitAnswer();
  for (int k = 0; k < 3; ++k) {
    const int successor = 10 + k;
    coverage.runs(endpointOf(successor));
    ASSERT_EQ(update(add(successor) + "add " + host(successor) + " 60 TXT started=" + startedNow() + "\n"),
              0);
    ASSERT_EQ(update("add " + host(k) + " 60 TXT state=draining\n", {"--tcp"}), 0);
    coverage.leaves(endpointOf(k), kDrainGrace + kSocketAllowance);
    // An update during the drain that repeats the records of the server does not end the drain.
    ASSERT_EQ(update("delete " + host(k) + " TXT\n" + add(k)), 0);
    ASSERT_TRUE(until([&] { return !used(k); })) << program->output();
    ASSERT_EQ(update(removeServer(k)), 0);
  }
  const Micros end = net::steadyNow() + 2 * kSecond;
  until([&] { return net::steadyNow() > end; });
  for (int k = 0; k < 3; ++k) EXPECT_FALSE(used(k)) << k;
  EXPECT_LE(coverage.worst(), kMaxUncovered + kSocketAllowance) << coverage.where();
  for (const std::string& violation : coverage.wrongs()) ADD_FAILURE() << violation;
  std::cout << "longest time without coverage " << coverage.worst() / 1000 << " ms\n";
  program->signal(SIGTERM);
  EXPECT_EQ(program->wait(), 0);
}

// The supervisor is killed at random points while updates arrive. Every acknowledged update is present after
// the restart.
TEST_F(Deploy, KilledSupervisorLosesNoAcknowledgedUpdate) {
  constexpr int kKills = 12;
  std::mt19937 random(20261201);
  std::set<int> accepted;
  int next = 0;
  for (int round = 0; round < kKills; ++round) {
    start();
    std::vector<std::unique_ptr<Program>> senders;
    std::vector<std::unique_ptr<Written>> scripts;
    std::vector<int> numbers;
    for (int k = 0; k < 6; ++k) {
      scripts.push_back(std::make_unique<Written>("_kill" + std::to_string(next) + ".script", add(next)));
      senders.push_back(std::make_unique<Program>(
          std::vector<std::string>{PEARGRADE_PROGRAM, "zone", "update", scripts.back()->path, "--origin",
                                   "example.org", "--server", updates.text(), "--key", ownKey->path}));
      numbers.push_back(next++);
    }
    // Kill after this number of answers, at a random point of the next update.
    const auto answers = static_cast<long>(random() % 5 + 1);
    loop.until([&] {
      return std::count_if(senders.begin(), senders.end(), [](const auto& s) { return s->ended(); }) >=
             answers;
    });
    const Micros until = net::steadyNow() + static_cast<Micros>(random() % 2000);
    loop.until([&] { return net::steadyNow() > until; });
    program->signal(SIGKILL);
    program->wait();
    for (std::size_t k = 0; k < senders.size(); ++k) {
      // A sender that has its answer ends at once. The others are stopped here.
      const Micros limit = net::steadyNow() + 100000;
      loop.until([&] { return senders[k]->ended() || net::steadyNow() > limit; });
      if (senders[k]->ended() && senders[k]->wait() == 0) accepted.insert(numbers[k]);
    }
  }
  start();
  for (const int k : accepted) {
    EXPECT_EQ(update("need " + host(k) + " A 10.1.0." + std::to_string(k) + "\n"), 0)
        << k << " was acknowledged and is lost";
  }
  EXPECT_GT(accepted.size(), 5u);
  std::cout << accepted.size() << " of " << next << " acknowledged over " << kKills << " kills\n";
}

TEST(ZoneCommand, ChecksShowsAndComparesFiles) {
  const std::string head = "$TTL 60\n@ SOA ns hostmaster 7 1h 10m 1d 30\n";
  const Written good("_good.zone", head + "bello-1 A 10.1.0.1\n"),
      bad("_bad.zone", head + "bello-1 A 10.1.0.300\nx MX 1 y\n"),
      other("_other.zone",
            "$TTL 60\n@ SOA ns hostmaster 7 3600 600 86400 30\nbello-2.example.org. A 10.1.0.2\n");
  const auto run = [](const std::vector<std::string>& arguments, int code,
                      const std::vector<std::string>& expectedParts) {
    std::vector<std::string> all{PEARGRADE_PROGRAM, "zone"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    Program program(all);
    EXPECT_EQ(program.wait(), code) << program.output();
    for (const std::string& part : expectedParts)
      EXPECT_NE(program.output().find(part), std::string::npos) << program.output();
  };
  run({"check", good.path, "--origin", "example.org."}, 0, {"good, serial 7, 2 records"});
  run({"check", bad.path, "--origin", "example.org"}, 1, {":3:11: found '10.1.0.300'", ":4:3: found 'MX'"});
  run({"check", bad.path, "--origin", "example.org", "--json"}, 1, {"\"line\": 4", "\"good\": false"});
  run({"show", good.path, "--origin", "example.org"}, 0, {"bello-1.example.org. 60 IN A 10.1.0.1"});
  run({"show", bad.path, "--origin", "example.org"}, 1, {"found 'MX'"});
  run({"diff", good.path, good.path, "--origin", "example.org"}, 0, {});
  run({"diff", good.path, other.path, "--origin", "example.org"}, 1,
      {"- bello-1.example.org. 60 A 10.1.0.1", "+ bello-2.example.org. 60 A 10.1.0.2"});
  run({"diff", good.path, bad.path, "--origin", "example.org"}, 2, {"found 'MX'"});
  run({"accept", "--state", "/nonexistent", "--zone", "orders", "--serial", "7"}, 1, {"cannot be written"});
  run({"update", "/nonexistent", "--origin", "example.org", "--server", "127.0.0.1:1", "--key",
       "/nonexistent"},
      2, {"cannot be read", "No such file"});
}

}  // namespace
}  // namespace peargrade
