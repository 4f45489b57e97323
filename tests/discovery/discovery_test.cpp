// Discovery: the list's JSON, the whole list, the watch, and a discovery that fails.
#include "discovery/discovery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "fakes/discovery.h"
#include "fakes/manual_peer.h"
#include "support/loop.h"

namespace peargrade::discovery {
namespace {

const char kList[] =
    R"({"rev":41,"all":true,"targets":[{"uid":"s-5be2a07c","endpoint":"10.1.0.18:3000","az":"b","model":"m2",)"
    R"("pod_group":3,"state":"DRAINING","capacity_hint":1.5,"boot_ms":1764600000123}]})";

TEST(Catalog, ListIsReadInUnitsOfTheModule) {
  const EndpointListUpdate news = parseCatalog(kList, testNames(), "list");
  EXPECT_EQ(news.kind, EndpointListKind::Full);
  EXPECT_EQ(news.version, 41);
  ASSERT_EQ(news.endpoints.size(), 1u);
  const Endpoint& e = news.endpoints[0];
  EXPECT_EQ(e.server, "s-5be2a07c");
  EXPECT_EQ(e.zone, 1);
  EXPECT_EQ(e.kind, 1);
  EXPECT_EQ(e.cell, 3);
  EXPECT_EQ(e.state, EndpointState::Draining);
  EXPECT_EQ(e.weight, 1.5);
  EXPECT_EQ(e.startedAt, 1764600000123000);
}

TEST(Catalog, WhatIsWrongIsNamed) {
  const std::pair<const char*, const char*> cases[] = {
      {"", "not JSON"},
      {"[]", "not an object"},
      {R"({"all":true,"targets":[]})", "'rev' is missing"},
      {R"({"rev":1})", "'targets' is missing"},
      {R"({"rev":1,"targets":{}})", "'targets' is not an array"},
      {R"({"rev":1,"targets":[7]})", "not an object"},
      {R"({"rev":1,"targets":[{"uid":"s","az":"zz","state":"SERVING"}]})", "'az' is no zone"},
      {R"({"rev":1,"targets":[{"uid":"s","az":"a","state":"WELL"}]})", "'state' has an unknown value"},
      {R"({"rev":1,"targets":[{"uid":"s","az":"a","state":"SERVING","boot_ms":9300000000000000000}]})",
       "'boot_ms'"},
  };
  for (const auto& [text, complaint] : cases) {
    try {
      parseCatalog(text, testNames(), "list");
      ADD_FAILURE() << "taken: " << text;
    } catch (const ParseError& e) {
      EXPECT_NE(std::string(e.what()).find(complaint), std::string::npos) << text << " -> " << e.what();
    }
  }
}

// Property: whatever bytes come, the parser takes them or complains; nothing else.
TEST(Catalog, RandomChangesNeverDoMoreThanComplain) {
  std::mt19937 random(11);
  int taken = 0, refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text = kList;
    for (unsigned k = random() % 3; k > 0; --k)
      text[random() % text.size()] = static_cast<char>(random() % 256);
    try {
      parseCatalog(text, testNames(), "list");
      ++taken;
    } catch (const ParseError&) {
      ++refused;
    }
  }
  EXPECT_GT(taken, 1000);
  EXPECT_GT(refused, 1000);
}

struct WithDiscovery : testing::Test {
  Loop loop;
  ReadLog log;
  Names names = testNames();
  dispatch::Dispatcher exchange;
  Seen seen;
  fakes::Discovery there{loop.base.get()};
  std::unique_ptr<Discovery> discovery;

  void start(std::int64_t known = 0, Discovery::Limits limits = {}) {
    discovery = std::make_unique<Discovery>(loop.base.get(), there.address(), names, known, exchange,
                                            *log.log, limits);
  }
  void ask(Action action) { exchange.dispatch({std::move(action)}); }
  bool until(const std::function<bool()>& holds) {
    return loop.until([&] {
      seen.take(exchange);
      return holds();
    });
  }
  std::vector<EndpointListUpdate> lists() const { return seen.all<EndpointListUpdate>(); }
};

TEST_F(WithDiscovery, WatchResumesAfterTheCachedListAndTellsChanges) {
  there.set("s1", "a", "SERVING");
  there.set("s2", "b", "SERVING");
  start(1);
  EXPECT_TRUE(there.requests.empty()) << "nothing is asked before the module wants it";
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  EXPECT_EQ(there.requests.at(0), "/catalog/members?follow=1&since=1");
  EXPECT_EQ(lists()[0].kind, EndpointListKind::Delta);
  ASSERT_EQ(lists()[0].endpoints.size(), 1u);
  EXPECT_EQ(lists()[0].endpoints[0].server, "s2");
  there.set("s1", "a", "DRAINING");
  ASSERT_TRUE(until([&] { return lists().size() == 2; }));
  EXPECT_EQ(lists()[1].endpoints.at(0).state, EndpointState::Draining);
}

TEST_F(WithDiscovery, ObjectsInPiecesAndEmptyLinesAreOneList) {
  there.set("s1", "a", "SERVING");
  start();
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  const std::string line =
      "\n"
      R"({"rev":2,"all":false,"targets":[{"uid":"s2","az":"a","state":"SERVING"}]})"
      "\n\n"
      R"({"rev":3,"all":false,"targets":[]})"
      "\n";
  for (char byte : line) {
    there.raw(std::string(1, byte));
    event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }
  ASSERT_TRUE(until([&] { return lists().size() == 3; }));
  EXPECT_EQ(lists()[1].endpoints.at(0).server, "s2");
  EXPECT_EQ(lists()[2].version, 3);
}

TEST_F(WithDiscovery, FetchBringsTheWholeListOnce) {
  there.set("s1", "a", "SERVING");
  there.set("s2", "a", "DELETED");
  start(1);
  ask(PollEndpoints{});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  EXPECT_EQ(there.requests.at(0), "/catalog/members");
  EXPECT_EQ(lists()[0].kind, EndpointListKind::Full);
  EXPECT_EQ(lists()[0].endpoints.size(), 1u);
}

TEST_F(WithDiscovery, FetchBesideAWatchIsOneCallAtATimeAndTheWatchGoesOn) {
  there.set("s1", "a", "SERVING");
  start();
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  ask(PollEndpoints{});
  ASSERT_TRUE(until([&] { return there.requests.size() == 3 && lists().size() == 3; }));
  EXPECT_EQ(there.requests[1], "/catalog/members");
  EXPECT_EQ(there.requests[2], "/catalog/members?follow=1&since=1");
  for (const EndpointListUpdate& news : lists()) EXPECT_NE(news.kind, EndpointListKind::Failed);
}

TEST_F(WithDiscovery, RefusalResetAndEndAreOneFailedEventEach) {
  there.set("s1", "a", "SERVING");
  start();
  there.statuses = {503};
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  EXPECT_EQ(lists()[0].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=bad-answer (status 503)"));
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 2; }));
  EXPECT_EQ(lists()[1].kind, EndpointListKind::Full);
  there.endWatches();
  ASSERT_TRUE(until([&] { return lists().size() == 3; }));
  EXPECT_EQ(lists()[2].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=peer-closed"));
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 4; }));
  there.raw(R"({"rev":2,"all":fal)");
  there.breakWatches();
  ASSERT_TRUE(until([&] { return lists().size() == 5; }));
  EXPECT_EQ(lists()[4].kind, EndpointListKind::Failed);
  EXPECT_EQ(log.count(" ended code="), 3u);
}

TEST_F(WithDiscovery, NobodyThereIsFailedAndTriedAgainWhenAsked) {
  {
    fakes::Discovery gone(loop.base.get());
    discovery = std::make_unique<Discovery>(loop.base.get(), gone.address(), names, 0, exchange, *log.log,
                                            Discovery::Limits{});
  }
  for (std::size_t k = 1; k <= 3; ++k) {
    ask(WatchEndpoints{true});
    ASSERT_TRUE(until([&] { return lists().size() == k; }));
    EXPECT_EQ(lists().back().kind, EndpointListKind::Failed);
  }
}

// Guards against a discovery that vanishes without a reset: its empty lines stop.
TEST_F(WithDiscovery, SilenceEndsTheWatch) {
  there.set("s1", "a", "SERVING");
  there.emptyLines = false;
  Discovery::Limits limits;
  limits.silence = 100000;
  start(0, limits);
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 2; }));
  EXPECT_EQ(lists()[1].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=silent"));
  there.mute = true;
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 3; }));
  EXPECT_EQ(lists()[2].kind, EndpointListKind::Failed);
}

// Guards against changes that build on a list which is not the one held here.
TEST_F(WithDiscovery, ARevisionThatGoesBackAsksForTheWholeList) {
  there.rev = 50;
  there.set("s1", "a", "SERVING");
  start(99);
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  EXPECT_EQ(lists()[0].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=revision-regressed"));
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 2; }));
  EXPECT_EQ(lists()[1].kind, EndpointListKind::Full);
  EXPECT_EQ(there.requests.back(), "/catalog/members?follow=1");
}

TEST_F(WithDiscovery, BadObjectsAndEndlessLinesEndTheCall) {
  there.set("s1", "a", "SERVING");
  Discovery::Limits limits;
  limits.line = 1000;
  start(0, limits);
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  there.raw("{\"rev\":\"x\"}\n");
  ASSERT_TRUE(until([&] { return lists().size() == 2; }));
  EXPECT_EQ(lists()[1].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=bad-message"));
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 3; }));
  there.raw(std::string(5000, ' '));
  ASSERT_TRUE(until([&] { return lists().size() == 4; }));
  EXPECT_TRUE(log.has("code=too-long"));
}

TEST_F(WithDiscovery, UnwatchEndsTheWatchWithoutAFailure) {
  there.set("s1", "a", "SERVING");
  start();
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  ask(WatchEndpoints{false});
  ASSERT_TRUE(until([&] { return there.watching() == 0; }));
  EXPECT_EQ(lists().size(), 1u);
  EXPECT_TRUE(log.has("code=discarded"));
}

// A new configuration names another address: the old one accepts nothing new and closes soon after.
TEST_F(WithDiscovery, AMoveOpensTheNewWatchWhileTheOldServes) {
  there.set("s1", "a", "SERVING");
  fakes::Discovery next{loop.base.get()};
  next.set("s1", "a", "SERVING");
  start(1);
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  next.mute = true;
  discovery->moveTo(next.address());
  ASSERT_TRUE(until([&] { return next.requests.size() == 1; }));
  EXPECT_EQ(next.requests[0], "/catalog/members?follow=1&since=1");
  there.set("s2", "a", "SERVING");
  ASSERT_TRUE(until([&] { return lists().size() == 2; })) << "the old watch is still heard";
  next.mute = false;
  next.set("s2", "a", "SERVING");
  there.endWatches();  // the old address closes before the new one has told
  discovery->moveTo(there.address());
  discovery->moveTo(next.address());
  ASSERT_TRUE(until([&] { return next.watching() == 1 && there.watching() == 0; }));
  next.set("s1", "a", "DRAINING");
  ASSERT_TRUE(until([&] { return !lists().empty() && lists().back().version == 3; }));
  for (const EndpointListUpdate& news : lists())
    EXPECT_NE(news.kind, EndpointListKind::Full) << "nothing had to be asked for whole";
  EXPECT_EQ(lists().back().endpoints.at(0).state, EndpointState::Draining);
  EXPECT_TRUE(log.has("code=moved"));
}

// Guards against a successor that begins behind what the old watch has told: it is neither an older list nor
// told twice.
TEST_F(WithDiscovery, ASuccessorThatBeginsBehindChangesNothing) {
  there.set("s1", "a", "SERVING");
  fakes::Discovery next{loop.base.get()};
  next.set("s1", "a", "SERVING");
  start();
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  there.set("s2", "a", "SERVING");
  there.set("s2", "a", "DRAINING");
  const auto told = [&] { return lists().back().version == 3; };
  ASSERT_TRUE(until(told));
  discovery->moveTo(next.address());  // asks since 3, and is answered with revision 1
  ASSERT_TRUE(until([&] { return log.has("code=revision-regressed"); })) << "behind what it was asked for";
  EXPECT_EQ(there.watching(), 1u) << "the old watch serves on";
  next.set("s2", "a", "SERVING");
  next.set("s2", "a", "DRAINING");
  ASSERT_TRUE(until([&] { return next.watching() == 1 && there.watching() == 0; }));
  for (const EndpointListUpdate& news : lists()) EXPECT_NE(news.kind, EndpointListKind::Failed);
}

TEST_F(WithDiscovery, ANewAddressThatRefusesIsDialledUntilItServes) {
  there.set("s1", "a", "SERVING");
  start();
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  auto next = std::make_unique<fakes::Discovery>(loop.base.get());
  const net::Address at = next->address();
  next.reset();
  discovery->moveTo(at);
  ASSERT_TRUE(until([&] { return log.count("code=refused") >= 2; }));
  EXPECT_EQ(there.watching(), 1u);
  next = std::make_unique<fakes::Discovery>(loop.base.get(), at.host, at.port);
  next->set("s1", "a", "SERVING");
  ASSERT_TRUE(until([&] { return next->watching() == 1 && there.watching() == 0; }));
  for (const EndpointListUpdate& news : lists()) EXPECT_NE(news.kind, EndpointListKind::Failed);
  next->endWatches();
  ASSERT_TRUE(until([&] { return lists().back().kind == EndpointListKind::Failed; }));
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return next->watching() == 1; })) << "what is asked for goes to the new address";
}

// Guards against a dial that never comes up: it may not take as long as a watch may be silent.
TEST_F(WithDiscovery, AnAddressThatTakesNothingInIsGivenUpSoon) {
  const Listener full(0);
  const sockaddr_in at = full.address.socket();
  std::vector<int> fill;  // until its queue is full, dials hang
  for (int k = 0; k < 4; ++k) {
    fill.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    connect(fill.back(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  Discovery::Limits limits;
  limits.silence = 60000000;
  limits.connect = 50000;
  discovery =
      std::make_unique<Discovery>(loop.base.get(), full.address, names, 0, exchange, *log.log, limits);
  ask(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return log.has("code=connect-timeout"); }));
  EXPECT_EQ(lists().back().kind, EndpointListKind::Failed);
  for (int fd : fill) close(fd);
}

// ---- Crossings: a peer that stops, drips or ends at any byte ----

const char kHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

struct DiscoveryByHand : WithDiscovery {
  fakes::ManualServer hand;
  std::unique_ptr<fakes::ManualPeer> peer;

  void begin(Micros silence, Action what = WatchEndpoints{true}) {
    Discovery::Limits limits;
    limits.silence = silence;
    discovery.reset();
    discovery =
        std::make_unique<Discovery>(loop.base.get(), hand.address(), names, 0, exchange, *log.log, limits);
    again(std::move(what));
  }
  // Asks, and takes in the connection with the request.
  void again(Action what = WatchEndpoints{true}) {
    ask(std::move(what));
    taken();
  }
  void taken() {
    peer.reset();
    ASSERT_TRUE(until([&] {
      if (!peer) peer = hand.accept();
      return peer && peer->read().find("\r\n\r\n") != std::string::npos;
    }));
  }
  bool whole() const { return !lists().empty() && lists().back().kind == EndpointListKind::Full; }
  // Bytes, one after the other, until a failure is told.
  bool drip(const std::string& bytes) {
    Pace pace{20000};
    return until([&] {
      if (pace.due()) peer->send(bytes);
      return failures() == 1;
    });
  }
  std::size_t failures() const {
    const auto all = lists();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const EndpointListUpdate& n) {
      return n.kind == EndpointListKind::Failed;
    }));
  }
};

// Guards against a peer that is neither silent nor says anything: a byte now and then, and the list goes
// quiet for good.
TEST_F(DiscoveryByHand, AWatchThatDripsWithoutAWholeLineIsGivenUp) {
  begin(150000);
  peer->send(kHead + chunk(std::string(kList) + "\n"));
  ASSERT_TRUE(until([&] { return lists().size() == 1; }));
  ASSERT_TRUE(drip(chunk(" ")));
  EXPECT_TRUE(log.has("code=silent (no whole line"));
  again();
  peer->send(kHead + chunk("\n") + chunk(std::string(kList) + "\n"));
  ASSERT_TRUE(until([&] { return whole(); })) << "asked for again, it is told";
}

TEST_F(DiscoveryByHand, EmptyLinesAreWholeLines) {
  begin(150000);
  peer->send(kHead + chunk(std::string(kList) + "\n"));
  const Micros end = net::steadyNow() + 450000;
  Pace pace{20000};
  ASSERT_TRUE(until([&] {
    if (pace.due()) peer->send(chunk("\n"));
    return net::steadyNow() > end;
  }));
  EXPECT_EQ(failures(), 0u);
}

TEST_F(DiscoveryByHand, AHeaderThatDripsIsGivenUp) {
  begin(150000);
  peer->send("HTTP/1.1 200 OK\r\nX-Long: ");
  ASSERT_TRUE(drip("x"));
  EXPECT_TRUE(log.has("code=silent")) << log.text;
}

TEST_F(DiscoveryByHand, AWholeListThatTricklesIsGivenUp) {
  begin(150000, PollEndpoints{});
  peer->send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  ASSERT_TRUE(drip(" "));
  EXPECT_TRUE(log.has("code=silent")) << log.text;
}

// Guards against a limit that a list over a slow way could never meet: it grows while bytes come.
TEST_F(DiscoveryByHand, AListOverASlowWayIsHeardAtALaterTry) {
  begin(100000);
  const std::string all = kHead + chunk(std::string(kList) + "\n");
  for (int tries = 1; tries <= 4; ++tries) {
    std::size_t sent = 0;
    const Micros from = net::steadyNow();
    ASSERT_TRUE(until([&] {
      // The whole of it within 250 ms, byte by byte.
      const auto due = static_cast<std::size_t>(net::steadyNow() - from) * all.size() / 250000;
      for (; sent < std::min(due, all.size()); ++sent) peer->send(all.substr(sent, 1));
      return failures() == static_cast<std::size_t>(tries) || whole();
    }));
    if (whole()) return;
    again();
  }
  ADD_FAILURE() << "given up four times";
}

// Wherever an answer ends, in order or not: one failure is told, nothing of the half is, and it is asked for
// again.
TEST_F(DiscoveryByHand, AnAnswerThatEndsAnywhereIsOneFailureAndIsAskedForAgain) {
  const std::string line = chunk(std::string(kList) + "\n");
  const std::pair<const char*, std::string> cuts[] = {
      {"before a byte", ""},
      {"in the status line", "HTTP/1.1 2"},
      {"in a header", "HTTP/1.1 200 OK\r\nTransfer-Enc"},
      {"after the header", kHead},
      {"in a chunk's length", kHead + std::string("a")},
      {"after a chunk's length", kHead + std::string("a5\r\n")},
      {"in a chunk", kHead + line.substr(0, line.size() / 2)},
      {"in a line, the chunk whole", kHead + chunk(std::string(kList).substr(0, 50))},
      {"in order, half told", kHead + chunk(std::string(kList).substr(0, 50)) + "0\r\n\r\n"},
      {"in order, nothing told", kHead + std::string("0\r\n\r\n")},
      {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
      {"no length at all", "HTTP/1.1 200 OK\r\n\r\n"},
      {"no HTTP", "* attach 1 a 1 1\r\n"},
      {"a length that is none", kHead + std::string("zz\r\n")},
  };
  begin(3000000);
  std::size_t failed = 0;
  for (const auto& [where, bytes] : cuts) {
    for (const bool broken : {false, true}) {
      peer->send(bytes);
      broken ? peer->reset() : peer->close();
      ++failed;
      ASSERT_TRUE(until([&] { return failures() == failed; })) << where;
      EXPECT_EQ(lists().size(), failed) << where << ": nothing else is told";
      EXPECT_EQ(log.count(" ended code="), failed) << where << ": one line\n" << log.text;
      again();
    }
  }
  peer->send(kHead + line);
  ASSERT_TRUE(until([&] { return whole(); }));
}

// Guards against a chunk's length that never ends: what is read ahead of a whole piece is bounded.
TEST_F(DiscoveryByHand, BytesWithoutAnEndFillNoMemory) {
  Discovery::Limits limits;
  limits.silence = 10000000;
  limits.body = 256 << 10;
  limits.line = 256 << 10;
  discovery =
      std::make_unique<Discovery>(loop.base.get(), hand.address(), names, 0, exchange, *log.log, limits);
  again();
  peer->send(kHead);
  const std::string piece(64 << 10, '1');
  ASSERT_TRUE(until([&] { return peer->send(piece), failures() > 0; }));
  EXPECT_TRUE(log.has("code=too-long (bytes without an end)")) << log.text;
}

// Guards against a watch and its successor that end in the same turn, in either order: one failure is told.
TEST_F(DiscoveryByHand, AWatchAndItsSuccessorThatEndTogetherAreOneFailure) {
  for (const bool successorFirst : {false, true}) {
    seen.events.clear();
    fakes::ManualServer next;
    begin(3000000);
    peer->send(kHead + chunk(std::string(kList) + "\n"));
    ASSERT_TRUE(until([&] { return lists().size() == 1; }));
    const auto old = std::move(peer);
    discovery->moveTo(next.address());
    std::unique_ptr<fakes::ManualPeer> successor;
    ASSERT_TRUE(until([&] {
      if (!successor) successor = next.accept();
      return successor && !successor->read().empty();
    }));
    (successorFirst ? successor : old)->reset();
    (successorFirst ? old : successor)->reset();
    ASSERT_TRUE(until([&] { return failures() == 1; }));
    ask(WatchEndpoints{true});
    ASSERT_TRUE(until([&] {
      successor = next.accept();
      return successor != nullptr;
    })) << "what is asked for goes to the new address";
    EXPECT_EQ(failures(), 1u);
  }
}

// What discovery has to tell counts as told after 6 s, heard or not: a silent watch must be noticed, asked
// for anew and dialled with time left for the orders (the module waits 0.5 s after a first failure,
// Round.AFailedList...).
TEST(Limits, ASilentWatchIsBackInTimeToActWithinSixSeconds) {
  const Discovery::Limits limits;
  EXPECT_GT(limits.silence, 2500000) << "an empty line comes every 2 s";
  EXPECT_LE(limits.silence + 500000 + limits.connect, 4000000);
}

}  // namespace
}  // namespace peargrade::discovery
