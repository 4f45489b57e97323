// Random interleavings of observations: the rules hold after every step, and the end does not depend on the
// order in which equally fresh answers came. The checker keeps a view of its own, simpler than the code's.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

constexpr Micros kSecond = 1000000;
constexpr int kServers = 8;
constexpr char kSeed[] = "seed=20261201 max_success=400 max_size=60";

// The same cases in every run; another seed by RC_PARAMS in the environment.
const int kSeeded = [] {
  setenv("RC_PARAMS", kSeed, 0);
  std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << '\n';
  return 0;
}();

std::string at(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }
ServerId uid(int k) { return "s-" + std::to_string(k); }

struct Step {
  enum What { RosterOne, RosterAll, Complete, Partial, Wait } what = Wait;
  std::size_t source = 0;
  std::set<int> servers;
  int server = 0;
  EndpointState state = EndpointState::Ready;
  Micros span = 0;  // of a wait, or a lifetime
  int tier = 0;     // of the odd servers
};

std::ostream& operator<<(std::ostream& out, const Step& s) {
  const char* const names[] = {"roster-one", "roster-all", "complete", "partial", "wait"};
  out << names[s.what] << " source=" << s.source << " server=" << s.server
      << " state=" << static_cast<int>(s.state) << " span=" << s.span << " tier=" << s.tier << " {";
  for (int k : s.servers) out << ' ' << k;
  return out << " }";
}

rc::Gen<Step> anyStep(bool tiers) {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::what,
                   rc::gen::element(Step::RosterOne, Step::RosterOne, Step::RosterAll, Step::Complete,
                                    Step::Complete, Step::Partial, Step::Wait, Step::Wait)),
      rc::gen::set(&Step::source, rc::gen::inRange<std::size_t>(0, 2)),
      rc::gen::set(&Step::servers, rc::gen::map(rc::gen::inRange(0, 1 << kServers),
                                                [](int mask) {
                                                  std::set<int> servers;
                                                  for (int k = 0; k < kServers; ++k) {
                                                    if ((mask >> k & 1) != 0) servers.insert(k);
                                                  }
                                                  return servers;
                                                })),
      rc::gen::set(&Step::server, rc::gen::inRange(0, kServers)),
      rc::gen::set(&Step::state,
                   rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Removed)),
      rc::gen::set(&Step::span, rc::gen::map(rc::gen::inRange(1, 100), [](int s) { return s * kSecond; })),
      rc::gen::set(&Step::tier, tiers ? rc::gen::element(0, 0, 20) : rc::gen::just(0)));
}

RosterEntry listed(int k, EndpointState state, Micros startedAt = 0) {
  RosterEntry e;
  e.entry.server = uid(k);
  e.entry.state = state;
  e.entry.startedAt = startedAt;
  e.endpoint = at(k);
  return e;
}

Observation observed(const Step& s, Micros now) {
  Observation o;
  o.kind = s.what == Step::Complete ? Observation::Kind::Complete : Observation::Kind::Partial;
  o.source = s.source;
  o.asOf = now;
  for (int k : s.servers) {
    Sighting one;
    one.endpoint = at(k);
    one.name = "b" + std::to_string(k);
    one.weight = 10;
    one.tier = k % 2 == 1 ? s.tier : 0;
    one.until = now + s.span;
    o.seen.push_back(one);
  }
  return o;
}

// What the module would hold, and what a simple observer knows beside it.
struct Checker {
  const Settings& settings;
  std::map<ServerId, Endpoint> heard;
  std::map<int, EndpointState> roster;           // as it was told last
  std::map<int, std::set<std::size_t>> leftOut;  // by which complete answers, by number, since it was listed
  std::size_t answers = 0;

  std::size_t ready() const {
    std::size_t n = 0;
    for (const auto& [id, e] : heard) n += e.state == EndpointState::Ready;
    return n;
  }
  void take(const News& news) {
    if (news.list.kind == EndpointListKind::Full) heard.clear();
    for (const Endpoint& e : news.list.endpoints) {
      if (e.state == EndpointState::Removed)
        heard.erase(e.server);
      else
        heard[e.server] = e;
    }
  }
  void always(const Membership& m, Micros now) const {
    for (int k = 0; k < kServers; ++k) {
      const auto byUid = heard.find(uid(k)), bySpot = heard.find(at(k));
      const auto state = roster.find(k);
      const bool runs = state != roster.end() && state->second == EndpointState::Ready;
      const bool drains = state != roster.end() && state->second == EndpointState::Draining;
      RC_ASSERT(byUid == heard.end() || bySpot == heard.end());  // one server, one name
      if (drains) {
        RC_ASSERT(bySpot == heard.end());
        RC_ASSERT(byUid != heard.end() && byUid->second.state == EndpointState::Draining);
      }
      if (runs) RC_ASSERT(byUid != heard.end() && byUid->second.state == EndpointState::Ready);
      if (state == roster.end()) RC_ASSERT(byUid == heard.end());
    }
    // Every state with an end has a turn by then, and what is explained is what was told.
    std::size_t told = 0;
    for (const auto& e : m.explain(now)) {
      told += e.listed;
      if (e.until > now) RC_ASSERT(m.due().has_value() && *m.due() <= e.until);
      if (e.listed) RC_ASSERT(heard.count(e.server) == 1 && heard.at(e.server).state == e.state);
    }
    RC_ASSERT(told == heard.size());
    RC_ASSERT(m.ready() == ready());
  }
};

void play(const std::vector<Step>& steps, const Settings& settings) {
  Micros now = 1000 * kSecond;
  Membership m(settings, {false, false}, true, {}, now);
  Checker c{settings, {}, {}, {}, 0};
  m.roster(EndpointListKind::Full, {}, now);
  c.take(*m.settle(now));
  const auto settle = [&](bool records, bool partial) {
    const std::size_t before = c.ready();
    std::set<ServerId> bound;  // to go as soon as others are there
    for (const auto& e : m.explain(now)) {
      if (e.rule == Rule::KeepLeast || e.rule == Rule::Leaving) bound.insert(e.server);
    }
    const auto news = m.settle(now);
    std::size_t removed = 0, unconfirmed = 0;
    if (news) {
      for (const Decision& d : news->decisions) {
        if (d.state != EndpointState::Removed) continue;
        for (int k = 0; k < kServers; ++k) {
          if (d.server != at(k) || d.rule != Rule::Removed) continue;
          const bool wasReady = c.heard.count(at(k)) != 0 && c.heard.at(at(k)).state == EndpointState::Ready;
          if (!wasReady || bound.count(at(k)) != 0) continue;
          ++removed;
          unconfirmed += c.leftOut[k].size() < 2;
        }
      }
      c.take(*news);
    }
    if (partial) RC_ASSERT(removed == 0u);
    // At once goes no more than the share, except what two answers left out.
    const double share = std::max(settings.confirmShare, settings.stepShare);
    RC_ASSERT(static_cast<double>(unconfirmed) <= std::max(1.0, share * static_cast<double>(before)));
    if (records) RC_ASSERT(c.ready() >= std::min(before, settings.keepLeast));
    c.always(m, now);
  };
  const auto wait = [&](Micros span) {
    const Micros end = now + span;
    for (int turns = 0; turns < 1000; ++turns) {
      const auto due = m.due();
      if (!due || *due > end) break;
      now = std::max(now, *due);
      settle(false, false);
    }
    now = end;
    settle(false, false);
  };
  for (const Step& s : steps) {
    wait(kSecond);
    switch (s.what) {
      case Step::RosterOne:
        m.roster(EndpointListKind::Delta, {listed(s.server, s.state)}, now);
        if (s.state == EndpointState::Removed)
          c.roster.erase(s.server);
        else
          c.roster[s.server] = s.state;
        settle(false, false);
        break;
      case Step::RosterAll: {
        std::vector<RosterEntry> all;
        c.roster.clear();
        for (int k : s.servers) {
          all.push_back(listed(k, EndpointState::Ready));
          c.roster[k] = EndpointState::Ready;
        }
        m.roster(EndpointListKind::Full, all, now);
        settle(false, false);
        break;
      }
      case Step::Complete:
        ++c.answers;
        for (int k = 0; k < kServers; ++k) {
          if (s.servers.count(k) != 0)
            c.leftOut[k].clear();
          else
            c.leftOut[k].insert(c.answers);
        }
        m.observe(observed(s, now), now);
        settle(true, false);
        break;
      case Step::Partial:
        for (int k : s.servers) c.leftOut[k].clear();
        m.observe(observed(s, now), now);
        settle(true, true);
        break;
      case Step::Wait:
        wait(s.span);
        break;
    }
  }
}

TEST(Property, TheRulesHoldAfterEveryStep) {
  EXPECT_TRUE(
      rc::check("rules", [] { play(*rc::gen::container<std::vector<Step>>(anyStep(false)), Settings{}); }));
}

TEST(Property, TheRulesHoldWithTiersOfServersThatRecordsAloneKnow) {
  EXPECT_TRUE(rc::check("rules with tiers",
                        [] { play(*rc::gen::container<std::vector<Step>>(anyStep(true)), Settings{}); }));
}

TEST(Property, TheRulesHoldWithOtherSettings) {
  EXPECT_TRUE(rc::check("rules with settings", [] {
    Settings s;
    s.confirmShare = *rc::gen::element(0.0, 0.2, 1.0);
    s.stepShare = *rc::gen::element(0.1, 0.5, 1.0);
    s.keepLeast = *rc::gen::element<std::size_t>(0, 1, 3);
    s.staleFor = *rc::gen::element<Micros>(0, 5 * kSecond, 3600 * kSecond);
    s.flapTurns = *rc::gen::inRange(1, 4);
    play(*rc::gen::container<std::vector<Step>>(anyStep(true)), s);
  }));
}

// Servers told Ready with weight and start, once everything that had an end has ended.
std::map<ServerId, std::pair<double, Micros>> endOf(const std::vector<Step>& before,
                                                    const std::vector<Step>& equal, bool settleEach) {
  const Settings settings;
  Micros now = 1000 * kSecond;
  Membership m(settings, {false, false}, true, {}, now);
  std::map<ServerId, Endpoint> heard;
  const auto settle = [&] {
    const auto news = m.settle(now);
    if (!news) return;
    if (news->list.kind == EndpointListKind::Full) heard.clear();
    for (const Endpoint& e : news->list.endpoints) {
      if (e.state == EndpointState::Removed)
        heard.erase(e.server);
      else
        heard[e.server] = e;
    }
  };
  const auto apply = [&](const Step& s, bool settles = true) {
    if (s.what == Step::RosterOne)
      m.roster(EndpointListKind::Delta, {listed(s.server, s.state)}, now);
    else if (s.what == Step::Complete || s.what == Step::Partial)
      m.observe(observed(s, now), now);
    if (settles) settle();
  };
  m.roster(EndpointListKind::Full, {}, now);
  settle();
  for (const Step& s : before) {
    now += kSecond;
    apply(s);
  }
  now += kSecond;
  for (const Step& s : equal) apply(s, settleEach);
  settle();
  // Both runs go on with the same whole answers, as a network does that has found itself.
  for (int round = 0; round < 3; ++round) {
    for (std::size_t source = 0; source < 2; ++source) {
      Step whole;
      whole.what = Step::Complete;
      whole.source = source;
      whole.span = 1000 * kSecond;
      for (const Step& s : equal) {
        if ((s.what == Step::Complete || s.what == Step::Partial) && s.source == source)
          whole.servers.insert(s.servers.begin(), s.servers.end());
      }
      now += kSecond;
      apply(whole);
    }
  }
  const Micros end = now + 900 * kSecond;
  for (auto due = m.due(); due && *due < end; due = m.due()) {
    now = std::max(now, *due);
    settle();
  }
  std::map<ServerId, std::pair<double, Micros>> found;
  for (const auto& [id, e] : heard) {
    if (e.state == EndpointState::Ready) found[id] = {e.weight, e.startedAt};
  }
  return found;
}

// What comes in one turn of the loop is settled once: roster and records in any order.
TEST(Property, TheEndDoesNotDependOnTheOrderWithinATurn) {
  EXPECT_TRUE(rc::check("order within a turn", [] {
    const auto before = *rc::gen::container<std::vector<Step>>(anyStep(false));
    const auto equal = *rc::gen::container<std::vector<Step>>(anyStep(false));
    // Of two words of the roster on one server the later holds: they have an order of their own.
    std::set<int> spoken;
    std::vector<Step> kept;
    for (const Step& s : equal) {
      if (s.what == Step::RosterOne && !spoken.insert(s.server).second) continue;
      kept.push_back(s);
    }
    std::vector<Step> other = kept;
    std::reverse(other.begin(), other.end());
    RC_ASSERT(endOf(before, kept, false) == endOf(before, other, false));
  }));
}

// Answers that were asked for at the same moment and come one after another.
TEST(Property, TheEndDoesNotDependOnTheOrderOfEquallyFreshAnswers) {
  EXPECT_TRUE(rc::check("order of answers", [] {
    const auto before = *rc::gen::container<std::vector<Step>>(anyStep(false));
    std::vector<Step> equal;
    for (const Step& s : *rc::gen::container<std::vector<Step>>(anyStep(false))) {
      if (s.what == Step::Complete || s.what == Step::Partial) equal.push_back(s);
    }
    std::vector<Step> other = equal;
    std::reverse(other.begin(), other.end());
    RC_ASSERT(endOf(before, equal, true) == endOf(before, other, true));
  }));
}

// A zone with authority beside a roster and plain records. The observer forgets a drain at the first sign of
// a new start, so that what it still holds for draining has to be so.
struct ZoneStep {
  enum What { Zone, Records, Roster, Wait } what = Wait;
  int servers = 0, drained = 0, started = 0;  // sets of bits
  int server = 0;
  EndpointState state = EndpointState::Ready;
  bool anew = false;  // the roster says that it started now
  Micros span = 0;
};

std::ostream& operator<<(std::ostream& out, const ZoneStep& s) {
  const char* const names[] = {"zone", "records", "roster", "wait"};
  return out << names[s.what] << " servers=" << s.servers << " drained=" << s.drained
             << " started=" << s.started << " server=" << s.server << " state=" << static_cast<int>(s.state)
             << " anew=" << s.anew << " span=" << s.span;
}

rc::Gen<ZoneStep> anyZoneStep() {
  return rc::gen::build<ZoneStep>(
      rc::gen::set(&ZoneStep::what, rc::gen::element(ZoneStep::Zone, ZoneStep::Zone, ZoneStep::Records,
                                                     ZoneStep::Roster, ZoneStep::Wait)),
      rc::gen::set(&ZoneStep::servers, rc::gen::inRange(0, 1 << kServers)),
      rc::gen::set(&ZoneStep::drained, rc::gen::inRange(0, 1 << kServers)),
      rc::gen::set(&ZoneStep::started, rc::gen::inRange(0, 1 << kServers)),
      rc::gen::set(&ZoneStep::server, rc::gen::inRange(0, kServers)),
      rc::gen::set(&ZoneStep::state,
                   rc::gen::element(EndpointState::Ready, EndpointState::Draining, EndpointState::Removed)),
      rc::gen::set(&ZoneStep::anew, rc::gen::element(true, false)),
      rc::gen::set(&ZoneStep::span,
                   rc::gen::map(rc::gen::inRange(1, 100), [](int s) { return s * kSecond; })));
}

TEST(Property, NothingIsSentToWhatAZoneWithAuthorityDrains) {
  EXPECT_TRUE(rc::check("zone with authority", [] {
    const auto steps = *rc::gen::container<std::vector<ZoneStep>>(anyZoneStep());
    const Settings settings;
    Micros now = 1000 * kSecond;
    Membership m(settings, {true, false}, true, {}, now);
    Checker c{settings, {}, {}, {}, 0};
    m.roster(EndpointListKind::Full, {}, now);
    c.take(*m.settle(now));
    std::map<int, Micros> drained, rosterStart;
    int before = 0;
    const auto settle = [&] {
      const auto news = m.settle(now);
      if (news) c.take(*news);
      for (const auto& [k, since] : drained) {
        const auto bySpot = c.heard.find(at(k)), byUid = c.heard.find(uid(k));
        RC_ASSERT(bySpot == c.heard.end() || bySpot->second.state != EndpointState::Ready);
        if (rosterStart[k] <= since)
          RC_ASSERT(byUid == c.heard.end() || byUid->second.state != EndpointState::Ready);
      }
      for (int k = 0; k < kServers; ++k) RC_ASSERT(c.heard.count(at(k)) + c.heard.count(uid(k)) <= 1u);
      RC_ASSERT(m.ready() == c.ready());
      for (const auto& e : m.explain(now)) {
        if (e.until > now) RC_ASSERT(m.due().has_value() && *m.due() <= e.until);
      }
    };
    for (const ZoneStep& s : steps) {
      now += kSecond;
      settle();
      Observation o;
      o.kind = Observation::Kind::Complete;
      o.source = s.what == ZoneStep::Zone ? 0 : 1;
      o.asOf = now;
      for (int k = 0; k < kServers; ++k) {
        if ((s.servers >> k & 1) == 0) continue;
        Sighting one;
        one.endpoint = at(k);
        one.name = "b" + std::to_string(k);
        one.weight = 10;
        one.until = now + 1000 * kSecond;
        one.state = (s.drained >> k & 1) != 0 ? EndpointState::Draining : EndpointState::Ready;
        one.startedAt = s.what == ZoneStep::Zone && (s.started >> k & 1) != 0 ? now : 0;
        o.seen.push_back(one);
        if (s.what != ZoneStep::Zone) continue;
        const bool anew = one.startedAt != 0 || (before >> k & 1) == 0;
        if (one.state == EndpointState::Draining)
          drained.emplace(k, now);
        else if (anew)
          drained.erase(k);
      }
      switch (s.what) {
        case ZoneStep::Zone:
          for (int k = 0; k < kServers; ++k) {
            if ((s.servers >> k & 1) == 0) drained.erase(k);  // gone from the zone: another matter
          }
          before = s.servers;
          m.observe(o, now);
          break;
        case ZoneStep::Records:
          m.observe(o, now);
          break;
        case ZoneStep::Roster:
          if (s.anew) rosterStart[s.server] = now;
          m.roster(EndpointListKind::Delta, {listed(s.server, s.state, rosterStart[s.server])}, now);
          break;
        case ZoneStep::Wait: {
          const Micros end = now + s.span;
          for (auto due = m.due(); due && *due <= end; due = m.due()) {
            now = std::max(now, *due);
            settle();
          }
          now = end;
          break;
        }
      }
      settle();
    }
  }));
}

}  // namespace
}  // namespace peargrade::membership
