// Secondaries behind a scripted primary on loopback: transfers that break off, changes that do not fit,
// notices, several supervisors behind one place.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <random>

#include "dns_zone/master_file.h"
#include "fakes/primary.h"
#include "sources/sources.h"
#include "support/loop.h"

namespace peargrade::zone_server {
namespace {

constexpr Micros kSecond = 1000000;

std::string at(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }

dns_zone::Zone zoneOf(std::uint32_t serial, int from, int to, const std::string& more = "",
                      int refresh = 3600) {
  std::string text = "$TTL 60\n@ SOA ns hostmaster " + std::to_string(serial) + " " +
                     std::to_string(refresh) + " 1 86400 30\n" + more;
  for (int k = from; k < to; ++k) {
    const std::string host = "bello-" + std::to_string(k);
    text += "_o._tcp SRV 0 10 3000 " + host + "\n" + host + " A 10.1.0." + std::to_string(k) + "\n";
  }
  const auto r =
      dns_zone::readMasterFile("z", "example.org", [&](const std::string&, std::string& out, std::string&) {
        out = text;
        return true;
      });
  EXPECT_TRUE(r.mistakes.empty()) << r.mistakes[0].text();
  return r.zone;
}

// One supervisor's sources.
struct Site {
  ReadLog log;
  discovery::Names names = testNames();
  dispatch::Dispatcher exchange;
  op::Operator op;
  EndpointListUpdate known;
  std::vector<std::string> endpoints;
  std::mt19937 random{4};
  Seen seen;
  std::string root;
  Micros ahead = 0;
  std::unique_ptr<sources::Sources> sources;

  explicit Site(const std::vector<net::Address>& primaries, bool state = false) {
    static int count = 0;
    root =
        testing::TempDir() + "peargrade_follow_" + std::to_string(getpid()) + "_" + std::to_string(++count);
    std::filesystem::create_directory(root);
    chmod(root.c_str(), 0700);
    op.roster = false;
    op.merge.flapReturnsMax = 100;
    op.merge.staleRetention = 5 * kSecond;
    op.merge.confirmationShare = 1;
    op::Place place;
    place.zone = "a";
    op::Zone z;
    z.label = "orders";
    z.origin = "example.org";
    z.services = {"_o._tcp.example.org"};
    z.places = {place};
    z.primaries = primaries;
    z.listen = net::Address{"127.0.0.1", 0};
    if (state) z.state = root;
    op.zones = {z};
  }
  ~Site() {
    sources.reset();
    std::filesystem::remove_all(root);
  }
  void start(event_base* base) {
    sources.reset();
    seen.events.clear();
    sources::Dependencies around{
        base,          &op,
        &names,        &known,
        &endpoints,    &exchange,
        log.log.get(), [this] { return 1764600000 * kSecond + net::steadyNow() + ahead; }};
    sources =
        std::make_unique<sources::Sources>(around, [this] { return static_cast<std::uint32_t>(random()); });
    exchange.dispatch({WatchEndpoints{true}});
  }
  const ZoneSource& zone() const { return sources->zones().front(); }
  std::set<ServerId> list() {
    seen.take(exchange);
    std::set<ServerId> all;
    for (const EndpointListUpdate& news : seen.all<EndpointListUpdate>()) {
      if (news.kind == EndpointListKind::Full) all.clear();
      for (const Endpoint& e : news.endpoints) {
        all.insert(e.server);
        if (e.state != EndpointState::Ready) all.erase(e.server);
      }
    }
    return all;
  }
  std::uint32_t serial() const { return zone().zone() == nullptr ? 0 : zone().zone()->serial(); }
};

struct Following : testing::Test {
  Loop loop;
  fakes::Primary primary{loop.base.get()};
  Site site{{primary.address()}};

  void start(int servers = 6) {
    primary.publish(zoneOf(1, 0, servers));
    site.start(loop.base.get());
    ASSERT_TRUE(loop.until(
        [&] { return site.list().size() == static_cast<std::size_t>(servers) && site.zone().address(); }));
  }
  void tell() { primary.notify(*site.zone().address()); }
  bool serial(std::uint32_t wanted) {
    return loop.until([&] { return site.serial() == wanted; });
  }
};

TEST_F(Following, AWholeZoneThenChangesAfterANotice) {
  start();
  EXPECT_EQ(primary.axfrs, 1);
  primary.publish(zoneOf(2, 1, 8));
  tell();
  ASSERT_TRUE(loop.until([&] { return site.list().count(at(7)) == 1 && site.list().count(at(0)) == 0; }));
  EXPECT_EQ(primary.axfrs, 1);
  EXPECT_EQ(primary.ixfrs, 1);
  EXPECT_EQ(primary.notifyAnswers, 1);
  EXPECT_EQ(*site.zone().zone(), primary.zone());
}

TEST_F(Following, WithoutANoticeTheRefreshFindsIt) {
  primary.publish(zoneOf(1, 0, 6, "", 1));
  site.start(loop.base.get());
  ASSERT_TRUE(serial(1));
  primary.publish(zoneOf(2, 0, 7, "", 1));
  ASSERT_TRUE(serial(2));
}

TEST_F(Following, APrimaryThatDiesAmidATransferChangesNothing) {
  start();
  for (const bool hang : {false, true}) {
    for (const bool whole : {false, true}) {
      if (hang && whole) continue;  // the wait for a silent one is 5 s, and is the same
      const std::uint32_t next = site.serial() + 1;
      primary.noChanges = whole;
      primary.hang = hang;
      primary.dieAfter = 2;
      primary.publish(zoneOf(next, static_cast<int>(next) % 3, static_cast<int>(10 + next)));
      const dns_zone::Zone before = *site.zone().zone();
      const auto failed = site.zone().transferClient()->counts().failed;
      tell();
      ASSERT_TRUE(loop.until([&] { return site.zone().transferClient()->counts().failed > failed; }));
      EXPECT_EQ(*site.zone().zone(), before);
      primary.dieAfter = -1;
      ASSERT_TRUE(serial(next)) << "tried again";
      EXPECT_EQ(*site.zone().zone(), primary.zone());
    }
  }
  EXPECT_TRUE(site.log.has("what is held stays code=primary"));
}

TEST_F(Following, ChangesThatDoNotFitFallBackToTheWhole) {
  start();
  primary.wrongChanges = true;
  primary.publish(zoneOf(2, 0, 7));
  tell();
  ASSERT_TRUE(serial(2));
  EXPECT_EQ(primary.axfrs, 2);
  EXPECT_EQ(site.zone().transferClient()->counts().unfit, 1u);
  EXPECT_EQ(*site.zone().zone(), primary.zone());
}

TEST_F(Following, ASerialThatGoesBackwardsIsRefused) {
  start();
  primary.publish(zoneOf(0xF0000000u, 0, 2));
  tell();
  ASSERT_TRUE(loop.until([&] { return site.log.has("code=serial-backwards: serial 4026531840 after 1"); }));
  EXPECT_EQ(site.list().size(), 6u);
}

TEST_F(Following, NoticesOfOthersAreNotFollowed) {
  start();
  const int before = primary.soas;
  fakes::Primary stranger{loop.base.get(), "127.0.0.2"};
  stranger.publish(zoneOf(9, 0, 1));
  // Datagrams of the fake leave from the loopback address that the system picks: the primary's host. A
  // zone that is not ours is refused whoever names it.
  dns_zone::Zone other("example.net");
  other.add({"example.net", dns_zone::Type::SOA, 60,
             *zoneOf(9, 0, 1).find("example.org", dns_zone::Type::SOA)->data.begin()});
  stranger.publish(other);
  stranger.notify(*site.zone().address());
  tell();
  ASSERT_TRUE(loop.until([&] { return primary.notifyAnswers == 1; }));
  EXPECT_EQ(stranger.notifyAnswers, 0);
  ASSERT_TRUE(loop.until([&] { return primary.soas > before; }));
}

TEST_F(Following, AZoneThatExpiresGoesInStepsAndNotTheLast) {
  start();
  primary.down(true);
  site.ahead = 86400 * kSecond + 6 * kSecond;
  tell();  // refused: the primary is down, and something has to turn the clock's page
  for (int k = 0; k < 12; ++k) {
    loop.until([&] { return false; }, kSecond / 20);
    site.ahead += 6 * kSecond;
    site.sources->explain();
    site.sources->roster({EndpointListKind::Failed, 0, {}}, {});
  }
  EXPECT_EQ(site.list().size(), 1u);
  primary.down(false);
  site.ahead += 10 * kSecond;
  ASSERT_TRUE(loop.until([&] { return site.list().size() == 6; }));
}

TEST_F(Following, ARestartHoldsWhatItHadWhileThePrimaryIsDown) {
  Site lasting{{primary.address()}, true};
  primary.publish(zoneOf(1, 0, 6));
  lasting.start(loop.base.get());
  ASSERT_TRUE(loop.until([&] { return lasting.list().size() == 6; }));
  loop.until([] { return false; }, kSecond / 10);
  primary.down(true);
  lasting.start(loop.base.get());
  ASSERT_TRUE(loop.until([&] { return lasting.list().size() == 6; }));
  EXPECT_TRUE(lasting.log.has("records from the store"));
}

// Five supervisors behind one primary; one of them is cut off for a while.
TEST_F(Following, SeveralSupervisorsFollowOnePlace) {
  primary.publish(zoneOf(1, 0, 6));
  std::vector<std::unique_ptr<Site>> sites;
  for (int k = 0; k < 5; ++k) {
    sites.push_back(std::make_unique<Site>(std::vector<net::Address>{primary.address()}));
    sites.back()->start(loop.base.get());
  }
  const auto all = [&](std::uint32_t serial, std::size_t from) {
    return loop.until([&] {
      for (std::size_t k = from; k < sites.size(); ++k) {
        if (sites[k]->serial() != serial) return false;
      }
      return true;
    });
  };
  ASSERT_TRUE(all(1, 0));
  ASSERT_TRUE(loop.until([&] {
    for (const auto& s : sites) {
      if (!s->zone().address()) return false;
    }
    return true;
  }));
  Micros worst = 0;
  for (std::uint32_t serial = 2; serial < 6; ++serial) {
    primary.publish(zoneOf(serial, 0, static_cast<int>(5 + serial)));
    const Micros from = net::steadyNow();
    for (std::size_t k = 1; k < sites.size(); ++k) primary.notify(*sites[k]->zone().address());
    ASSERT_TRUE(all(serial, 1));
    worst = std::max(worst, net::steadyNow() - from);
  }
  EXPECT_EQ(sites[0]->serial(), 1u) << "cut off: it was told nothing";
  primary.notify(*sites[0]->zone().address());
  ASSERT_TRUE(all(5, 0));
  for (const auto& s : sites) EXPECT_EQ(*s->zone().zone(), primary.zone());
  std::cout << "five supervisors alike after at most " << worst / 1000 << " ms\n";
}

}  // namespace
}  // namespace peargrade::zone_server
