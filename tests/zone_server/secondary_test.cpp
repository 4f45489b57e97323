// Secondaries with a scripted primary on loopback: aborted transfers, IXFRs that do not apply, NOTIFY
// messages, and several supervisors with the same primary.
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

std::string endpointOf(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }

dns_zone::Zone makeZone(std::uint32_t serial, int from, int to, const std::string& more = "",
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

// The sources of one supervisor.
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
  Micros clockOffset = 0;
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
        log.log.get(), [this] { return 1764600000 * kSecond + net::steadyNow() + clockOffset; }};
    sources =
        std::make_unique<sources::Sources>(around, [this] { return static_cast<std::uint32_t>(random()); });
    exchange.dispatch({WatchEndpoints{true}});
  }
  const ZoneSource& zone() const { return sources->zones().front(); }
  std::set<ServerId> list() {
    seen.take(exchange);
    std::set<ServerId> all;
    for (const EndpointListUpdate& update : seen.all<EndpointListUpdate>()) {
      if (update.kind == EndpointListKind::Full) all.clear();
      for (const Endpoint& e : update.endpoints) {
        all.insert(e.server);
        if (e.state != EndpointState::Ready) all.erase(e.server);
      }
    }
    return all;
  }
  std::uint32_t serial() const { return zone().zone() == nullptr ? 0 : zone().zone()->serial(); }
};

struct SecondaryZone : testing::Test {
  Loop loop;
  fakes::Primary primary{loop.base.get()};
  Site site{{primary.address()}};

  void start(int servers = 6) {
    primary.publish(makeZone(1, 0, servers));
    site.start(loop.base.get());
    ASSERT_TRUE(loop.until(
        [&] { return site.list().size() == static_cast<std::size_t>(servers) && site.zone().address(); }));
  }
  void sendNotify() { primary.notify(*site.zone().address()); }
  bool serial(std::uint32_t expected) {
    return loop.until([&] { return site.serial() == expected; });
  }
};

TEST_F(SecondaryZone, TransfersTheZoneAndThenChangesAfterANotify) {
  start();
  EXPECT_EQ(primary.axfrs, 1);
  primary.publish(makeZone(2, 1, 8));
  sendNotify();
  ASSERT_TRUE(loop.until(
      [&] { return site.list().count(endpointOf(7)) == 1 && site.list().count(endpointOf(0)) == 0; }));
  EXPECT_EQ(primary.axfrs, 1);
  EXPECT_EQ(primary.ixfrs, 1);
  EXPECT_EQ(primary.notifyAnswers, 1);
  EXPECT_EQ(*site.zone().zone(), primary.zone());
}

TEST_F(SecondaryZone, FindsANewSerialByRefreshWithoutANotify) {
  primary.publish(makeZone(1, 0, 6, "", 1));
  site.start(loop.base.get());
  ASSERT_TRUE(serial(1));
  primary.publish(makeZone(2, 0, 7, "", 1));
  ASSERT_TRUE(serial(2));
}

TEST_F(SecondaryZone, AbortedTransferLeavesTheZoneUnchanged) {
  start();
  for (const bool hang : {false, true}) {
    for (const bool whole : {false, true}) {
      if (hang && whole) continue;  // the timeout is 5 s and the same for both kinds of transfer
      const std::uint32_t next = site.serial() + 1;
      primary.noChanges = whole;
      primary.hang = hang;
      primary.dieAfter = 2;
      primary.publish(makeZone(next, static_cast<int>(next) % 3, static_cast<int>(10 + next)));
      const dns_zone::Zone before = *site.zone().zone();
      const auto failed = site.zone().transferClient()->counts().failed;
      sendNotify();
      ASSERT_TRUE(loop.until([&] { return site.zone().transferClient()->counts().failed > failed; }));
      EXPECT_EQ(*site.zone().zone(), before);
      primary.dieAfter = -1;
      ASSERT_TRUE(serial(next)) << "the transfer is retried";
      EXPECT_EQ(*site.zone().zone(), primary.zone());
    }
  }
  EXPECT_TRUE(site.log.has("the current zone stays in force code=primary"));
}

TEST_F(SecondaryZone, FallsBackToAxfrIfAnIxfrDoesNotApply) {
  start();
  primary.wrongChanges = true;
  primary.publish(makeZone(2, 0, 7));
  sendNotify();
  ASSERT_TRUE(serial(2));
  EXPECT_EQ(primary.axfrs, 2);
  EXPECT_EQ(site.zone().transferClient()->counts().unfit, 1u);
  EXPECT_EQ(*site.zone().zone(), primary.zone());
}

TEST_F(SecondaryZone, RefusesASerialThatGoesBackwards) {
  start();
  primary.publish(makeZone(0xF0000000u, 0, 2));
  sendNotify();
  ASSERT_TRUE(loop.until([&] { return site.log.has("code=serial-backwards: serial 4026531840 after 1"); }));
  EXPECT_EQ(site.list().size(), 6u);
}

TEST_F(SecondaryZone, RefusesANotifyForAnotherZone) {
  start();
  const int before = primary.soas;
  fakes::Primary other{loop.base.get(), "127.0.0.2"};
  other.publish(makeZone(9, 0, 1));
  // The system selects the source address of the fake's datagrams, which is the host of the primary. A NOTIFY
  // for another zone is refused whoever sends it.
  dns_zone::Zone otherZone("example.net");
  otherZone.add({"example.net", dns_zone::Type::SOA, 60,
                 *makeZone(9, 0, 1).find("example.org", dns_zone::Type::SOA)->data.begin()});
  other.publish(otherZone);
  other.notify(*site.zone().address());
  sendNotify();
  ASSERT_TRUE(loop.until([&] { return primary.notifyAnswers == 1; }));
  EXPECT_EQ(other.notifyAnswers, 0);
  ASSERT_TRUE(loop.until([&] { return primary.soas > before; }));
}

TEST_F(SecondaryZone, ServersOfAnExpiredZoneAreRemovedInStepsExceptTheLast) {
  start();
  primary.down(true);
  site.clockOffset = 86400 * kSecond + 6 * kSecond;
  sendNotify();  // the query fails as the primary is down; the event makes the source read the clock
  for (int k = 0; k < 12; ++k) {
    loop.until([&] { return false; }, kSecond / 20);
    site.clockOffset += 6 * kSecond;
    site.sources->explain();
    site.sources->roster({EndpointListKind::Failed, 0, {}}, {});
  }
  EXPECT_EQ(site.list().size(), 1u);
  primary.down(false);
  site.clockOffset += 10 * kSecond;
  ASSERT_TRUE(loop.until([&] { return site.list().size() == 6; }));
}

TEST_F(SecondaryZone, RestoresTheZoneFromTheStoreWhileThePrimaryIsDown) {
  Site stored{{primary.address()}, true};
  primary.publish(makeZone(1, 0, 6));
  stored.start(loop.base.get());
  ASSERT_TRUE(loop.until([&] { return stored.list().size() == 6; }));
  loop.until([] { return false; }, kSecond / 10);
  primary.down(true);
  stored.start(loop.base.get());
  ASSERT_TRUE(loop.until([&] { return stored.list().size() == 6; }));
  EXPECT_TRUE(stored.log.has("records restored from the store"));
}

// Five supervisors have the same primary. One of them misses the NOTIFY messages for a while.
TEST_F(SecondaryZone, SeveralSupervisorsConvergeOnOnePrimary) {
  primary.publish(makeZone(1, 0, 6));
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
    primary.publish(makeZone(serial, 0, static_cast<int>(5 + serial)));
    const Micros from = net::steadyNow();
    for (std::size_t k = 1; k < sites.size(); ++k) primary.notify(*sites[k]->zone().address());
    ASSERT_TRUE(all(serial, 1));
    worst = std::max(worst, net::steadyNow() - from);
  }
  EXPECT_EQ(sites[0]->serial(), 1u) << "it received no NOTIFY";
  primary.notify(*sites[0]->zone().address());
  ASSERT_TRUE(all(5, 0));
  for (const auto& s : sites) EXPECT_EQ(*s->zone().zone(), primary.zone());
  std::cout << "five supervisors have the same zone after at most " << worst / 1000 << " ms\n";
}

}  // namespace
}  // namespace peargrade::zone_server
