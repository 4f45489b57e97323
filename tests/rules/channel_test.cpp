// The rule of the short queue against a reference channel that counts lines as the wire page says: generated
// joins, leaves, drains, restarts and broken calls, from fixed seeds, at sizes from a toy to a fleet.
#include <gtest/gtest.h>

#include <deque>
#include <functional>

#include "state.h"
#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

struct Case {
  int proxies, slices;
  std::uint64_t seed;
};

class Reference : public testing::TestWithParam<Case> {
 protected:
  struct Message {
    double lines;
    int mark;
    std::set<ProxyId> to;
  };

  int pick(int n) { return static_cast<int>(chance.next() % static_cast<std::uint64_t>(n)); }
  bool likely(double p) { return chance.uniform() < p; }
  void later(Micros delay, std::function<void()> what) { agenda.emplace(s->now + delay, std::move(what)); }
  void tell(Event event) { told.push_back(std::move(event)); }

  void begin() {
    const Case& c = GetParam();
    settings.slices = c.slices;
    settings.proxies = c.proxies;
    settings.deliveryReported = true;
    settings.routesPerSecond = std::max(30000.0, c.slices * c.proxies / 6.0);
    settings.pendingRoutesMax = 1.5 * settings.routesPerSecond;
    settings.messageOverheadRoutes = 16;
    settings.messagesPerProxyMax = 30;
    s = std::make_unique<SimulatedSupervisor>(settings, 20, c.seed);
    s->acknowledgesUpdates = s->reportsLoad = false;
  }

  // What the relay does with a reply: a message of a head and its lines to each proxy that is there by then.
  void carryOut(const std::vector<Action>& reply) {
    Message m{settings.messageOverheadRoutes + static_cast<double>(settings.classes.size()), 0, joined};
    for (const Action& a : reply) {
      const auto* admit = std::get_if<SetAdmission>(&a);
      m.lines += admit == nullptr || admit->table != kAllTables;  // levels for all are in the head
      if (const auto* mark = std::get_if<AcknowledgementRequest>(&a)) m.mark = mark->updateId;
    }
    waiting += m.lines * static_cast<double>(m.to.size());
    put(std::move(m));
    most = std::max(most, waiting / settings.pendingRoutesMax);
    EXPECT_LE(waiting, settings.pendingRoutesMax) << "at " << (s->now - start) / kMillisecond << " ms";
  }
  virtual void put(Message m) { channel.push_back(std::move(m)); }
  // Of each reply: answered; in doubt and carried out, or not; not sent for long.
  void order(const std::vector<Action>& out) {
    std::vector<Action> reply;
    for (const Action& a : out) {
      if (!std::holds_alternative<Log>(a) && !std::holds_alternative<SetTimer>(a)) reply.push_back(a);
    }
    if (reply.empty() || !std::holds_alternative<AcknowledgementRequest>(reply.back())) return;
    const int mark = std::get<AcknowledgementRequest>(reply.back()).updateId;
    const bool doubt = likely(broken), carried = !doubt || likely(0.5);
    const Micros sent = (likely(broken) ? pick(6000) : 1 + pick(40)) * kMillisecond;
    if (carried) later(sent, [=] { carryOut(reply); });
    later(sent + (doubt ? 150 : 3) * kMillisecond, [=] {
      tell(UpdateDelivery{mark, !doubt ? DeliveryOutcome::Accepted : DeliveryOutcome::Incomplete, 1});
    });
  }
  void join(ProxyId p) {
    joined.insert(p);
    later(pick(300) * kMillisecond, [=] {
      tell(ProxyConnected{p, p % 2, 5, false});
    });  // its news come later
  }
  virtual void leave(ProxyId p) {
    joined.erase(p);
    for (Message& m : channel) waiting -= m.to.erase(p) > 0 ? m.lines : 0;
    later(pick(300) * kMillisecond, [=] { tell(ProxyDisconnected{p}); });
  }
  // Servers drain together, and are back as new ones.
  void drain(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name = SimulatedSupervisor::serverName(pick(20));
      EndpointListUpdate news{EndpointListKind::Delta, 0, {s->endpoints[name]}};
      news.endpoints[0].state = EndpointState::Draining;
      tell(news);
      later(9 * kSecond, [=] {
        EndpointListUpdate back{EndpointListKind::Delta, 0, {s->endpoints[name]}};
        back.endpoints[0].startedAt = s->now;
        tell(back);
      });
    }
  }
  void step(Micros span) {
    s->now += span;
    while (!agenda.empty() && agenda.begin()->first <= s->now) {
      const auto what = agenda.begin()->second;
      agenda.erase(agenda.begin());
      what();
    }
    serve(settings.routesPerSecond / slow * static_cast<double>(span) / kSecond);
    order(s->handle(std::exchange(told, {TimerFired{"sweep"}})));
  }
  virtual void serve(double room) {
    while (!channel.empty() && room > 0) {
      Message& m = channel.front();
      for (; !m.to.empty() && room >= 0; room -= m.lines) {
        const ProxyId p = *m.to.begin();
        m.to.erase(m.to.begin());
        waiting -= m.lines;
        const int mark = m.mark;
        if (p % 20 != 7)  // some never answer
          later(100 * kMillisecond + pick(600) * kMillisecond, [=] {
            tell(UpdateAcknowledged{p, mark, kMillisecond});
          });
      }
      if (m.to.empty()) channel.pop_front();
    }
  }
  // The servers, slices and proxies that all days here begin with, and a first drain.
  void open() {
    begin();
    const Case& c = GetParam();
    std::vector<Event> ev = s->startEvents(c.slices);
    for (Event& e : ev) {  // the proxies are there before their news
      if (!std::holds_alternative<ProxyConnected>(e)) tell(std::move(e));
    }
    for (int p = 0; p < c.proxies; ++p) join(p);
    step(20 * kMillisecond);
    drain(6);
    step(10 * kMillisecond);
  }
  // The channel is as fast as stated again, and nothing more happens: orders were not shut in for good.
  void expectAllServed() {
    slow = 1, broken = 0;
    for (int k = 0; k < 200; ++k) step(250 * kMillisecond);
    for (int t = 0; t < GetParam().slices; ++t) {
      EXPECT_FALSE(s->routes[t].empty()) << t;
      for (const auto& [server, w] : s->routes[t])
        EXPECT_EQ(s->endpoints[server].state, EndpointState::Ready) << t;
    }
  }

  Settings settings = testSettings();
  std::unique_ptr<SimulatedSupervisor> s;
  Rng chance{GetParam().seed};
  const Micros start = 1000 * kSecond;
  std::multimap<Micros, std::function<void()>> agenda;
  std::vector<Event> told;
  std::set<ProxyId> joined;
  std::deque<Message> channel;
  double waiting = 0, slow = 1, broken = 0;
  double most = 0;  // that waited at one time, as a share of what may
};

TEST_P(Reference, NoMoreLinesWaitThanMayAndEveryDrainIsLeft) {
  open();
  const Case& c = GetParam();
  for (int round = 0; round < 8; ++round) {
    slow = 1 + chance.uniform() * (c.seed % 2 == 1 ? 7 : 1);
    broken = round % 2 == 1 ? 0.4 : 0;
    for (int k = 0; k < 4; ++k) {
      if (likely(0.6)) drain(1 + pick(5));
      const bool crowd = likely(0.3);
      for (int p = 0; p < c.proxies; ++p) {
        if (!likely(crowd ? 0.4 : 0.01)) continue;
        if (joined.count(p) > 0) leave(p);
        later(crowd ? 2 * kSecond : pick(4000) * kMillisecond, [=] {
          if (joined.count(p) == 0) join(p);
        });
      }
      for (int k2 = 0; k2 < 10; ++k2) step(100 * kMillisecond + pick(150) * kMillisecond);
      if (HasFailure()) return;
    }
  }
  expectAllServed();
}

INSTANTIATE_TEST_SUITE_P(Sizes, Reference,
                         testing::Values(Case{10, 40, 1}, Case{10, 40, 2}, Case{150, 200, 3},
                                         Case{150, 200, 4}, Case{500, 280, 5}, Case{500, 280, 6},
                                         Case{2400, 285, 7}, Case{2400, 285, 8}, Case{2400, 1400, 9}),
                         [](const auto& info) {
                           return "Proxies" + std::to_string(info.param.proxies) + "Seed" +
                                  std::to_string(info.param.seed);
                         });

// A channel where each copy of a message has its turn from when it is ordered. Copies for a proxy that dies
// still take theirs, but what is ordered later is set forward by as much: it overtakes copies ordered before
// for other proxies. A proxy's own copies stay in sequence.
class Overtaking : public Reference {
 protected:
  struct Copy {
    ProxyId to;
    int stream, mark;
    double lines, turn;
  };

  void put(Message m) override {
    for (const ProxyId p : m.to) {
      end = std::max(end, served) + m.lines;
      copies[p].push_back({p, streams[p], m.mark, m.lines, end});
    }
  }
  // It is told late, or where it is back before that, with its joining.
  void leave(ProxyId p) override {
    joined.erase(p);
    ++streams[p];
    for (Copy& c : copies[p]) {
      end -= c.lines;
      dead.push_back(c);
    }
    copies[p].clear();
    unread.insert(p);
    later(pick(300) * kMillisecond, [=] {
      if (unread.erase(p) > 0) tell(ProxyDisconnected{p});
    });
  }
  void comeBack(ProxyId p) {
    joined.insert(p);
    later(pick(300) * kMillisecond, [=, stream = streams[p]] {
      if (streams[p] != stream) return;
      if (unread.erase(p) > 0) tell(ProxyDisconnected{p}), ++crossed;
      tell(ProxyConnected{p, p % 2, 5, true});
      known[p] = stream;
    });
  }
  void serve(double room) override {
    served += room;
    for (auto& [p, waits] : copies) {
      for (; !waits.empty() && waits.front().turn <= served; waits.pop_front()) {
        waiting -= waits.front().lines;
        if (p % 20 == 7) continue;  // some never answer
        later(100 * kMillisecond + pick(600) * kMillisecond, [this, c = waits.front()] {
          if (streams[c.to] == c.stream && known[c.to] == c.stream)
            tell(UpdateAcknowledged{c.to, c.mark, kMillisecond});
        });
      }
    }
    for (std::size_t k = 0; k < dead.size();) {
      if (dead[k].turn > served) {
        ++k;
        continue;
      }
      waiting -= dead[k].lines;
      dead[k] = dead.back();
      dead.pop_back();
    }
  }
  // Half of the servers stay: with none at all there would be nothing to order.
  void drainSome() {
    while (!drains.empty() && drains.front() < s->now - 9 * kSecond) drains.pop_front();
    if (drains.size() >= 10) return;
    drains.push_back(s->now);
    drain(1);
  }
  void killMost() {
    for (int p = 0; p < GetParam().proxies; ++p) {
      if (joined.count(p) == 0 || !likely(0.7)) continue;
      leave(p);
      later((likely(0.3) ? pick(200) : 1200 + pick(2000)) * kMillisecond, [=] { comeBack(p); });
    }
  }

  std::map<ProxyId, std::deque<Copy>> copies;
  std::vector<Copy> dead;
  std::map<ProxyId, int> streams, known;  // how often it has started; as far as its news were told
  std::deque<Micros> drains;              // of the last 9 s
  std::set<ProxyId> unread;               // its leaving is not told yet
  double served = 0, end = 0;             // of all lines: those whose turn has come, and the next turn
  int crossed = 0;                        // came back before its leaving was told
};

TEST_P(Overtaking, NoMoreLinesWaitThanMayWhenMostProxiesAreKilledAndComeBack) {
  open();
  for (int round = 0; round < 10; ++round) {
    slow = 1 + chance.uniform() * 7;
    for (int k = 0; k < 10; ++k) {
      drainSome();
      step(100 * kMillisecond + pick(150) * kMillisecond);
    }
    killMost();
    for (int k = 0; k < 40; ++k) {
      if (likely(0.3)) drainSome();
      step(50 * kMillisecond + pick(150) * kMillisecond);
    }
    if (HasFailure()) return;
  }
  EXPECT_GT(crossed, 0);
  EXPECT_GT(most, GetParam().proxies < 100 ? 0 : 0.5) << "the channel was never filled";
  expectAllServed();
}

INSTANTIATE_TEST_SUITE_P(Sizes, Overtaking,
                         testing::Values(Case{10, 40, 1}, Case{150, 200, 3}, Case{500, 280, 5},
                                         Case{500, 280, 6}, Case{2400, 285, 7}, Case{2400, 285, 8}),
                         [](const auto& info) {
                           return "Proxies" + std::to_string(info.param.proxies) + "Seed" +
                                  std::to_string(info.param.seed);
                         });

// Ten proxies, all joined long before what follows.
class Account : public testing::Test {
 protected:
  Account() {
    for (ProxyId p = 0; p < 10; ++p) channel.join(p, at);
  }
  // Each is told to have gone a second after the one before; time alone lets nothing leave.
  int send(double lines) { return channel.send(at += kSecond, lines, 10, 0); }
  double waits() const { return channel.waiting(at, 0); }

  Micros at = 1000 * kSecond;
  Channel channel;
};

TEST_F(Account, WhatIsOrderedAfterALeavingProvesNothingOfWhatWasOrderedBefore) {
  const int first = send(20), before = send(30);
  for (ProxyId p = 3; p < 10; ++p) channel.leave(p, at + 1);
  channel.join(20, at + 1);
  const int after = send(40);
  EXPECT_EQ(waits(), 10 * 20 + 10 * 30 + 4 * 40);
  channel.confirm(20, after);  // set forward by what waited for the seven that left
  EXPECT_EQ(waits(), 10 * 20 + 10 * 30 + 3 * 40);
  channel.confirm(0, before);  // ordered of the same ten as the first one: that has left
  EXPECT_DOUBLE_EQ(waits(), 2 * 30 + 7 * 30 * 2 / 3. + 3 * 40);
  channel.confirm(1, after);  // its own come in sequence
  EXPECT_DOUBLE_EQ(waits(), 30 + 7 * 30 / 3. + 2 * 40);
  EXPECT_LT(first, before);
}

TEST_F(Account, LinesForThoseWhoLeftWaitUntilWhatIsBehindThemHasLeft) {
  send(20);
  for (ProxyId p = 3; p < 10; ++p) channel.leave(p, at);
  EXPECT_EQ(waits(), 10 * 20);
  const int second = send(30);
  channel.confirm(0, second);  // overtook up to 140 lines
  EXPECT_DOUBLE_EQ(waits(), 2 * 20 + 7 * 20 * 2 / 3. + 2 * 30);
  send(30);
  const int fourth = send(30);  // 180 lines behind the first
  channel.confirm(0, fourth);
  EXPECT_EQ(waits(), 2 * 30);
}

TEST_F(Account, WhereAllWhoCouldTellHaveLeftAllOfItWaits) {
  const int first = send(20);
  for (ProxyId p = 0; p < 10; ++p) channel.leave(p, at);
  EXPECT_EQ(waits(), 10 * 20);
  channel.join(20, at + 1);  // tells nothing of what went before it
  EXPECT_TRUE(channel.confirm(20, first));
  EXPECT_EQ(waits(), 10 * 20);
}

TEST_F(Account, OneThatLeavesAMessageInHandHasItsLinesCountedAsTheyWent) {
  send(20);
  channel.await();
  channel.leave(9, at);
  channel.told(at, 2, 5, 10);  // in two calls: one more head of 5
  EXPECT_EQ(waits(), 10 * 25);
  send(30);
  channel.await();
  channel.leave(8, at);
  channel.told(at, 0, 5, 10);
  EXPECT_EQ(waits(), 10 * 25);
}

TEST_F(Account, WhatWasOrderedBeforeALeavingWasReadMayHaveBeenSetForward) {
  send(30);
  const int crossing = send(40);  // the proxies had left by then
  for (ProxyId p = 3; p < 10; ++p) channel.leave(p, at);
  channel.confirm(0, crossing);
  EXPECT_DOUBLE_EQ(waits(), 2 * 70 + 7 * 70 * 2 / 3.);
}

}  // namespace
}  // namespace peargrade
