// The rule of the short queue against a reference channel that counts lines as the wire page says: generated
// joins, leaves, drains, restarts and broken calls, from fixed seeds, at sizes from a toy to a fleet.
#include <gtest/gtest.h>

#include <deque>
#include <functional>

#include "state.h"
#include "support/scene.h"

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
    settings.ordersTold = true;
    settings.linesPerSecond = std::max(30000.0, c.slices * c.proxies / 6.0);
    settings.linesWaitingMax = 1.5 * settings.linesPerSecond;
    settings.linesPerMessage = 16;
    settings.messagesPerProxyMax = 30;
    s = std::make_unique<Scene>(settings, 20, c.seed);
    s->confirming = s->reporting = false;
  }

  // What the relay does with a reply: a message of a head and its lines to each proxy that is there by then.
  void carryOut(const std::vector<Action>& reply) {
    Message m{settings.linesPerMessage + static_cast<double>(settings.classes.size()), 0, joined};
    for (const Action& a : reply) {
      const auto* admit = std::get_if<Admit>(&a);
      m.lines += admit == nullptr || admit->table != kAllTables;  // levels for all are in the head
      if (const auto* mark = std::get_if<Mark>(&a)) m.mark = mark->mark;
    }
    waiting += m.lines * static_cast<double>(m.to.size());
    channel.push_back(std::move(m));
    EXPECT_LE(waiting, settings.linesWaitingMax) << "at " << (s->now - start) / kMs << " ms";
  }
  // Of each reply: answered; in doubt and carried out, or not; not sent for long.
  void order(const std::vector<Action>& out) {
    std::vector<Action> reply;
    for (const Action& a : out) {
      if (!std::holds_alternative<Log>(a) && !std::holds_alternative<SetTimer>(a)) reply.push_back(a);
    }
    if (reply.empty() || !std::holds_alternative<Mark>(reply.back())) return;
    const int mark = std::get<Mark>(reply.back()).mark;
    const bool doubt = likely(broken), carried = !doubt || likely(0.5);
    const Micros sent = (likely(broken) ? pick(6000) : 1 + pick(40)) * kMs;
    if (carried) later(sent, [=] { carryOut(reply); });
    later(sent + (doubt ? 150 : 3) * kMs, [=] { tell(OrdersTold{mark, !doubt, 1}); });
  }
  void join(ProxyId p) {
    joined.insert(p);
    later(pick(300) * kMs, [=] { tell(ProxyJoined{p, p % 2, 5, false}); });  // its news come later
  }
  void leave(ProxyId p) {
    joined.erase(p);
    for (Message& m : channel) waiting -= m.to.erase(p) > 0 ? m.lines : 0;
    later(pick(300) * kMs, [=] { tell(ProxyLeft{p}); });
  }
  // Servers drain together, and are back as new ones.
  void drain(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name = Scene::name(pick(20));
      ListNews news{ListMode::Delta, 0, {s->list[name]}};
      news.entries[0].state = ServerState::Draining;
      tell(news);
      later(9 * kSecond, [=] {
        ListNews back{ListMode::Delta, 0, {s->list[name]}};
        back.entries[0].startedAt = s->now;
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
    double room = settings.linesPerSecond / slow * static_cast<double>(span) / kSecond;
    while (!channel.empty() && room > 0) {
      Message& m = channel.front();
      for (; !m.to.empty() && room >= 0; room -= m.lines) {
        const ProxyId p = *m.to.begin();
        m.to.erase(m.to.begin());
        waiting -= m.lines;
        const int mark = m.mark;
        if (p % 20 != 7)  // some never answer
          later(100 * kMs + pick(600) * kMs, [=] { tell(OrderApplied{p, mark, kMs}); });
      }
      if (m.to.empty()) channel.pop_front();
    }
    order(s->feed(std::exchange(told, {TimerFired{"sweep"}})));
  }

  Settings settings = plainSettings();
  std::unique_ptr<Scene> s;
  Rng chance{GetParam().seed};
  const Micros start = 1000 * kSecond;
  std::multimap<Micros, std::function<void()>> agenda;
  std::vector<Event> told;
  std::set<ProxyId> joined;
  std::deque<Message> channel;
  double waiting = 0, slow = 1, broken = 0;
};

TEST_P(Reference, NoMoreLinesWaitThanMayAndEveryDrainIsLeft) {
  begin();
  const Case& c = GetParam();
  std::vector<Event> ev = s->startEvents(c.slices);
  for (Event& e : ev) {  // the proxies are there before their news
    if (!std::holds_alternative<ProxyJoined>(e)) tell(std::move(e));
  }
  for (int p = 0; p < c.proxies; ++p) join(p);
  step(20 * kMs);
  drain(6);
  step(10 * kMs);
  for (int round = 0; round < 8; ++round) {
    slow = 1 + chance.uniform() * (c.seed % 2 == 1 ? 7 : 1);
    broken = round % 2 == 1 ? 0.4 : 0;
    for (int k = 0; k < 4; ++k) {
      if (likely(0.6)) drain(1 + pick(5));
      const bool crowd = likely(0.3);
      for (int p = 0; p < c.proxies; ++p) {
        if (!likely(crowd ? 0.4 : 0.01)) continue;
        if (joined.count(p) > 0) leave(p);
        later(crowd ? 2 * kSecond : pick(4000) * kMs, [=] {
          if (joined.count(p) == 0) join(p);
        });
      }
      for (int k2 = 0; k2 < 10; ++k2) step(100 * kMs + pick(150) * kMs);
      if (HasFailure()) return;
    }
  }
  slow = 1, broken = 0;
  for (int k = 0; k < 200; ++k) step(250 * kMs);
  for (int t = 0; t < c.slices; ++t) {
    EXPECT_FALSE(s->tables[t].empty()) << t;
    for (const auto& [server, w] : s->tables[t]) EXPECT_EQ(s->list[server].state, ServerState::Ready) << t;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, Reference,
                         testing::Values(Case{10, 40, 1}, Case{10, 40, 2}, Case{150, 200, 3},
                                         Case{150, 200, 4}, Case{500, 280, 5}, Case{500, 280, 6},
                                         Case{2400, 285, 7}, Case{2400, 285, 8}, Case{2400, 1400, 9}),
                         [](const auto& info) {
                           return "Proxies" + std::to_string(info.param.proxies) + "Seed" +
                                  std::to_string(info.param.seed);
                         });

}  // namespace
}  // namespace peargrade
