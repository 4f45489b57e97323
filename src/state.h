// What a DecisionEngine remembers: plain records and counters without any decision or tuned value.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/decaying_sum.h"
#include "decision/random.h"
#include "decision/sliding_minimum.h"
#include "decision/update_channel.h"
#include "decision/zone_statistics.h"
#include "peargrade/decision_engine.h"

namespace peargrade {

using decision::AttemptCounts;
using decision::DecayingSum;
using decision::Random;
using decision::SlidingMinimum;
using decision::UpdateChannel;
using decision::ZoneStatistics;

// What the way between two zones adds to latency and to the share of failed tries.
struct Way {
  double extra = 0, lost = 0;
};
using Ways = std::map<std::pair<int, int>, Way>;  // by zone of the servers, of the proxies

struct Server {
  Endpoint entry;
  bool listed = false;    // in the list as it stands
  bool believed = false;  // dropped from the list, yet taken to be there
  bool proved = false;    // has answered, or held slices when this supervisor met it
  Micros seenAt = 0, probeAt = 0;
  bool repeat = false;   // whether it is withdrawn must be ordered again: not all proxies may know
  Micros leftAt = 0;     // when it was last found draining or gone
  Micros changedAt = 0;  // when it last started or was taken back, as far as seen; 0: never

  std::map<int, ZoneStatistics> seen;  // by zone of the proxies
  SlidingMinimum latencies;
  Micros reportedAt = 0;

  // Reckoned anew for each decision.
  double heat = 0;         // of own slices as decided
  std::size_t cohort = 0;  // those that changed when it did; 0: none
  double part = 0;         // what peers' slices bring, as a share of the cohort's own heat
  double latency = 0;      // heard; 0: unheard
  double pressure = 0;     // heard latency as a share of the aims asked of it
  AttemptCounts tally;

  bool failing = false;
  Micros failingUntil = 0, failingHold = 0;
  double strength = 1;  // what it bears against what its weight says
  Micros strengthAt = 0;
  int hotRuns = 0;
  Micros hotJudgedAt = 0;
  Micros movedAt = 0, nextMoveAt = 0;  // of slices off it
  Micros gaveAt = 0;                   // of slices to it by refill
  std::vector<double> levels;          // that its slices should have, by class
  double admitted = 1;                 // share of its work that is let in
  double allowance = 0;                // heat per listed weight that it may be sent; 0: as much as comes
  double pressedAt = 0;                // what it got when it was last found pressed
  Micros allowedAt = 0;
  int rises = 0;           // of the allowance, one after the other
  bool withdrawn = false;  // ordered out of all tables

  // Sums up what was met, less what the ways add; returns the number of answers.
  double sum(Micros now, Micros memory, const Ways& ways) {
    double answers = 0, total = 0;
    tally = {};
    for (const auto& [zone, z] : seen) {
      const auto it = ways.find({entry.zone, zone});
      const Way way = it == ways.end() ? Way{} : it->second;
      const double n = z.successes.at(now, memory), tries = z.attempts.at(now, memory);
      answers += n;
      total += std::max(0.0, z.latencySum.at(now, memory) - n * way.extra);
      tally.attempts += tries;
      tally.failures += std::max(0.0, z.failures.at(now, memory) - tries * way.lost);
    }
    latency = answers < 0.5 ? 0 : total / answers;
    return answers;
  }
  double listedWeight(bool listed) const { return listed && entry.weight > 0 ? entry.weight : 1; }
  bool startedWithin(Micros now, Micros span) const {
    return entry.startedAt > 0 && now - entry.startedAt < span;
  }
  // The part of its capacity that it has by the settings: from the stated start it grows evenly.
  double warmth(Micros now, const Settings& cfg) const {
    if (!startedWithin(now, cfg.slowStartWindow)) return 1;
    const double age = std::max(0.0, static_cast<double>(now - entry.startedAt) / cfg.slowStartWindow);
    return cfg.initialCapacity + (1 - cfg.initialCapacity) * age;
  }
  void apply(const SetEjection& order) {
    withdrawn = order.state == EjectionState::Ejected;
    repeat = false;
  }
  // A new life: nothing of the former one holds but what was ordered.
  void restart(Micros now) {
    Server fresh;
    fresh.changedAt = fresh.movedAt = now;
    fresh.seenAt = seenAt;
    fresh.withdrawn = withdrawn;
    fresh.repeat = repeat;
    fresh.proved = proved;
    std::swap(*this, fresh);
  }
  // What the list says. Where gone is advice, what is only dropped keeps the state that it was last seen in.
  void take(const Endpoint& e, Micros now, bool goneIsAdvice) {
    const Micros started = std::max(entry.startedAt, e.startedAt);
    const EndpointState before = entry.state;
    entry = e;
    entry.startedAt = started;
    listed = e.state != EndpointState::Removed;
    if (!listed && goneIsAdvice) entry.state = before;
    if (seenAt == 0) seenAt = now;
  }
  // Whether proxies may be unable to send to it for an order of ours.
  bool shut() const { return withdrawn || repeat; }
  bool ready() const { return (listed || believed) && entry.state == EndpointState::Ready; }
  bool usable() const { return ready() && !failing && proved && !withdrawn; }
};

// What was met between zones: by zone of the servers, of the proxies.
inline std::map<int, std::map<int, ZoneStatistics>> metBetween(const std::map<ServerId, Server>& servers,
                                                               Micros now, Micros memory) {
  std::map<int, std::map<int, ZoneStatistics>> met;
  for (const auto& [id, s] : servers) {
    for (const auto& [zone, seen] : s.seen) met[s.entry.zone][zone].add(now, seen, memory);
  }
  return met;
}

using Lines = std::map<ServerId, double>;  // weight by server
// In place of a weight: the last order for this line may not have been carried out, so that the line may be
// there or not, with any weight. It equals no wanted weight and is therefore ordered anew.
constexpr double kInDoubt = -1;

struct Slice {
  Slice() = default;
  Slice(Micros now, std::size_t classes)
      : demand(classes),
        rates(classes),
        levels(classes, 1),
        sentLevels(classes, 1),
        movedAt(now),
        givenAt(now) {}

  Lines want, sent;                 // the table as decided, and as last ordered or read from the store
  ServerId home;                    // the line that carries the slice
  ServerId firstHome;               // where it was when this supervisor got it
  std::vector<DecayingSum> demand;  // by class
  std::vector<double> rates;        // reckoned anew for each decision: requests a second by class
  double heat = 0;
  std::vector<double> levels, sentLevels;  // by class
  unsigned levelsInDoubt = 0;              // classes, as a sum of 2^k, whose last level may not be in force
  Micros movedAt = 0, givenAt = 0;
  bool leftHome = false;  // off a server that could not keep it, and that is not ordered yet
  // oneOwner: after the old owner's line is ordered away, the proxies that have not yet confirmed.
  std::set<ProxyId> unsettled;
  int clearedBy = -1;
  Micros freeAt = 0;

  // Rates over a memory of which only what was seen counts, and their heat, with each class's work.
  void reckon(Micros now, Micros seen, Micros memory, const std::vector<double>& works) {
    const double full = static_cast<double>(memory);
    const double span = full / 1e6 * (1 - std::exp(-static_cast<double>(seen) / full));
    heat = 0;
    for (std::size_t c = 0; c < rates.size(); ++c) {
      rates[c] = demand[c].at(now, memory) / span;
      heat += rates[c] * works[c];
    }
  }

  // Takes an order as done.
  void apply(const SetRoute& line) {
    leftHome = leftHome && line.server != home;
    if (line.weight > 0)
      sent[line.server] = line.weight;
    else
      sent.erase(line.server);
  }
  void apply(const SetAdmission& admit) {
    for (std::size_t c = 0; c < levels.size(); ++c) {
      if ((admit.classMask & (1u << c)) != 0) sentLevels[c] = levels[c];
    }
    levelsInDoubt &= ~admit.classMask;
  }
  // Takes an order as perhaps not done: it is ordered anew as far as it is still wanted.
  void doubt(const Action& order) {
    if (const auto* line = std::get_if<SetRoute>(&order)) sent[line->server] = kInDoubt;
    if (const auto* admit = std::get_if<SetAdmission>(&order)) levelsInDoubt |= admit->classMask;
  }
  bool levelStands(std::size_t c) const {
    return levels[c] == sentLevels[c] && (levelsInDoubt & (1u << c)) == 0;
  }

  // The orders that turn the table as sent into the table as decided: changed lines only.
  std::vector<Action> changedLines(TableId table) const {
    std::vector<Action> orders;
    for (const auto& [server, w] : want) {
      const auto was = sent.find(server);
      if (was == sent.end() || was->second != w) orders.push_back(SetRoute{table, server, w});
    }
    for (const auto& [server, w] : sent) {
      if (want.count(server) == 0) orders.push_back(SetRoute{table, server, 0});
    }
    return orders;
  }
};

// What an order sets: a newer order of the same takes its place.
using Aim = std::tuple<std::size_t, TableId, ServerId, unsigned>;
inline Aim aimOf(const Action& order) {
  if (const auto* line = std::get_if<SetRoute>(&order)) return {order.index(), line->table, line->server, 0};
  if (const auto* pull = std::get_if<SetEjection>(&order)) return {order.index(), 0, pull->server, 0};
  if (const auto* admit = std::get_if<SetAdmission>(&order))
    return {order.index(), admit->table, {}, admit->classMask};
  return {order.index(), 0, {}, 0};
}
inline TableId tableOf(const Action& order) {
  return std::holds_alternative<SetEjection>(order) ? kAllTables : std::get<1>(aimOf(order));
}
// Drops what newer orders replace.
inline void dropReplaced(std::vector<Action>& orders) {
  std::set<Aim> seen;
  std::vector<Action> kept;
  for (auto it = orders.rbegin(); it != orders.rend(); ++it) {
    if (seen.insert(aimOf(*it)).second) kept.push_back(std::move(*it));
  }
  orders.assign(std::make_move_iterator(kept.rbegin()), std::make_move_iterator(kept.rend()));
}

// Orders that go together, and where they stand in the order of urgency.
enum Urgency { Must, Evacuation, Level, Move, Standby };
struct Piece {
  Urgency urgency;
  double order;
  TableId table;
  std::vector<Action> orders;

  bool operator<(const Piece& other) const {
    return std::tie(urgency, order, table) < std::tie(other.urgency, other.order, other.table);
  }
};

// Servers in the tables as sent: in any; in one that has no open line; in one that no longer wants them. And
// those that any slice's record names beside that.
struct Uses {
  std::set<ServerId> held, needed, stale, named;
};
template <class Open>
Uses usesOf(const std::map<TableId, Slice>& slices, Open open) {
  Uses uses;
  for (const auto& [t, s] : slices) {
    bool covered = false;
    uses.named.insert(s.home);
    for (const auto& [id, w] : s.want) uses.named.insert(id);
    for (const auto& [id, w] : s.sent) covered = covered || (w != kInDoubt && open(id));
    for (const auto& [id, w] : s.sent) {
      uses.held.insert(id);
      if (!covered) uses.needed.insert(id);
      if (s.want.count(id) == 0) uses.stale.insert(id);
    }
  }
  return uses;
}

// Heat of the coolest slice of each home.
inline std::map<ServerId, double> coolestSlices(const std::map<TableId, Slice>& slices) {
  std::map<ServerId, double> least;
  for (const auto& [t, s] : slices) {
    double& coolest = least.emplace(s.home, s.heat).first->second;
    coolest = std::min(coolest, s.heat);
  }
  return least;
}

// Classes by worth per work, the least first.
inline std::vector<std::size_t> leastWorthFirst(const std::vector<RequestClass>& classes,
                                                const std::vector<double>& works) {
  std::vector<std::size_t> order(classes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return classes[a].priorityWeight / works[a] < classes[b].priorityWeight / works[b];
  });
  return order;
}

// Whether both say the same of what a further try may be: orders that name one stand then.
inline bool sameRetries(const Settings& a, const Settings& b) {
  const auto alike = [](const RequestClass& x, const RequestClass& y) {
    return x.idempotency == y.idempotency;
  };
  return a.attemptTimeoutObjectives == b.attemptTimeoutObjectives &&
         std::equal(a.classes.begin(), a.classes.end(), b.classes.begin(), b.classes.end(), alike);
}

// Drops the records of servers that left before a time and that no slice names.
inline void forgetLeft(std::map<ServerId, Server>& servers, const Uses& uses, Micros before) {
  for (auto it = servers.begin(); it != servers.end();) {
    const Server& s = it->second;
    const bool named = uses.held.count(it->first) + uses.named.count(it->first) > 0;
    const bool left = !s.ready() && !s.withdrawn && s.leftAt > 0 && s.leftAt < before;
    it = left && !named ? servers.erase(it) : std::next(it);
  }
}

inline double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

}  // namespace peargrade
