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

#include "peargrade/decision_engine.h"

namespace peargrade {

// SplitMix64: small, seeded, the same on every platform (the standard distributions are not).
class Rng {
 public:
  explicit Rng(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }  // in [0, 1)

 private:
  std::uint64_t state_;
};

// A sum that fades with time: what was added `memory` ago counts 1/e.
class Fading {
 public:
  void add(Micros now, double amount, Micros memory) {
    sum_ = at(now, memory) + amount;
    updated_ = now;
  }
  double at(Micros now, Micros memory) const {
    return sum_ == 0 ? 0
                     : sum_ * std::exp(-static_cast<double>(now - updated_) / static_cast<double>(memory));
  }

 private:
  double sum_ = 0;
  Micros updated_ = 0;
};

// What was ordered of the proxies and what they confirmed: messages leave one after the other, and each proxy
// applies its own in order. When proxies leave, what waits for them still takes its turn, but what is ordered
// later is set forward by as much: it may overtake what was ordered before for others.
class Channel {
 public:
  double proxies() const { return static_cast<double>(confirmedBy_.size()); }
  std::set<ProxyId> all() const {
    std::set<ProxyId> ids;
    for (const auto& [proxy, lines] : confirmedBy_) ids.insert(proxy);
    return ids;
  }
  // Its news may be read after messages went to it: those since then count as waiting for it too. One that is
  // announced once more goes on with what waits for it.
  void join(ProxyId proxy, Micros since) {
    const auto [it, fresh] = confirmedBy_.try_emplace(proxy, ordered_);
    if (!fresh) return;
    for (const auto& [mark, m] : messages_) {
      if (m.at >= since || (untold_ && mark == mark_)) it->second = std::min(it->second, m.from);
    }
    it->second = std::max(it->second, left_);
    confirmed_ += it->second;
    joinedAt_[proxy] = it->second;
  }
  // What waits for it goes on waiting until it has left. Its news may be read after messages were set
  // forward: those since then count as such.
  void leave(ProxyId proxy, Micros since) {
    const auto it = confirmedBy_.find(proxy);
    if (it == confirmedBy_.end()) return;
    const double lines = it->second, waits = ordered_ - lines;
    confirmed_ -= lines;
    confirmedBy_.erase(it);
    joinedAt_.erase(proxy);
    counted_ = false;
    if (waits <= 0) return;
    forGone_[{ordered_, lines}] += 1;
    next_ -= waits;
    for (auto& [mark, m] : messages_) m.first -= m.at >= since ? waits : 0;
  }
  // False: a mark that is not known, never asked for or confirmed by all long ago.
  bool confirm(ProxyId proxy, int mark) {
    const auto it = confirmedBy_.find(proxy);
    const auto by = messages_.find(mark);
    if (it == confirmedBy_.end() || by == messages_.end()) return false;
    raise(it->second, by->second.upTo);
    counted_ = false;
    // Whatever stands before this message in the queue has left the channel, for all proxies.
    double left = by->second.from;
    for (const auto& [other, m] : messages_) left = m.last > by->second.first ? std::min(left, m.from) : left;
    if (left > left_) {
      left_ = left;
      for (auto& [other, lines] : confirmedBy_) raise(lines, left_);
      while (!forGone_.empty() && forGone_.begin()->first.first <= left_) forGone_.erase(forGone_.begin());
    }
    return true;
  }
  std::size_t marks() const { return messages_.size(); }
  int nextMark() const { return (mark_ + 1) % kMarks; }
  // A message of so many lines to each of so many proxies; returns its mark.
  int send(Micros now, double lines, double receivers, double slowestPace) {
    queued_ = waiting(now, slowestPace) + lines * std::max(receivers, proxies());
    sentAt_ = now;
    times_.push_back(now);
    mark_ = nextMark();
    messages_[mark_] = {now, ordered_, ordered_ + lines, next_, next_ + lines * proxies()};
    next_ += lines * proxies();
    ordered_ += lines;
    forgetConfirmed();
    return mark_;
  }
  // The last message goes when this is told; until then nothing of it has left. It went as so many, or not at
  // all.
  void await() { untold_ = true; }
  void told(Micros now, int messages, double head, double receivers) {
    untold_ = false;
    const auto it = messages_.find(mark_);
    if (it == messages_.end()) return;
    const double more = messages > 0 ? (messages - 1) * head : it->second.from - it->second.upTo;
    queued_ = std::max(0.0, queued_ + more * std::max(receivers, proxies()));
    ordered_ += more;
    next_ += more * proxies();
    sentAt_ = now;
    it->second.at = now;
    it->second.upTo += more;
    it->second.last += more * proxies();
    times_.resize(times_.size() - std::min<std::size_t>(times_.size(), 1));
    for (int k = 0; k < messages; ++k) times_.push_back(now);
    for (auto& [proxy, lines] : confirmedBy_) {
      confirmed_ += std::min(lines, ordered_) - lines;
      lines = std::min(lines, ordered_);
    }
    const auto forGone = std::exchange(forGone_, {});
    for (const auto& [lines, count] : forGone) {
      const double upTo = lines.first + (lines.first > it->second.from ? more : 0);
      if (upTo > lines.second) forGone_[{upTo, lines.second}] += count;
    }
    counted_ = false;
    if (messages == 0) messages_.erase(it);
  }
  int mark() const { return mark_; }
  // Lines that wait: what is not confirmed, but no more than the slowest pace leaves.
  double waiting(Micros now, double slowestPace) const {
    const double gone = static_cast<double>(now - sentAt_) / 1e6 * slowestPace;
    return std::max(0.0, std::min(queued_ - gone, ordered_ * proxies() - confirmed_ + waitingForGone()));
  }
  double messagesWithin(Micros now, Micros span) {
    while (!times_.empty() && times_.front() <= now - span) times_.pop_front();
    return static_cast<double>(times_.size());
  }

 private:
  struct Message {
    Micros at;
    double from, upTo;   // of the lines ordered of one proxy
    double first, last;  // of the queue of all proxies' lines, as far as it can have been set forward
  };

  void raise(double& lines, double to) {
    if (lines >= to) return;
    confirmed_ += to - lines;
    lines = to;
  }
  // Each message's copies leave in no sequence that has to do with who left: of what waited for those, as
  // large a part has left as of what was ordered with it for the proxies that are still there.
  double waitingForGone() const {
    if (std::exchange(counted_, true)) return waitingForGone_;
    waitingForGone_ = 0;
    for (const auto& [lines, count] : forGone_) {
      double waits = 0, witnesses = 0;
      for (const auto& [proxy, confirmed] : confirmedBy_) {
        if (joinedAt_.at(proxy) > lines.second) continue;
        waits += std::max(0.0, lines.first - std::max(lines.second, confirmed));
        witnesses += 1;
      }
      const double all = std::max(0.0, lines.first - std::max(lines.second, left_));
      waitingForGone_ += count * (witnesses > 0 ? waits / witnesses : all);
    }
    return waitingForGone_;
  }
  // Marks that every proxy has confirmed tell nothing more: without this they would grow with the day.
  void forgetConfirmed() {
    double least = ordered_;
    for (const auto& [proxy, lines] : confirmedBy_) least = std::min(least, lines);
    for (const auto& [lines, count] : forGone_) least = std::min(least, std::max(lines.second, left_));
    for (auto it = messages_.begin(); it != messages_.end();)
      it = it->first != mark_ && it->second.upTo <= least ? messages_.erase(it) : std::next(it);
  }

  static constexpr int kMarks = 65536;     // the wire's range
  std::map<ProxyId, double> confirmedBy_;  // of the lines ordered of one proxy
  std::map<ProxyId, double> joinedAt_;     // of the same, where it began
  std::map<int, Message> messages_;        // by mark
  double ordered_ = 0, confirmed_ = 0, queued_ = 0;
  double left_ = 0;  // of the lines ordered of one proxy: these have left for all
  double next_ = 0;  // the place in the queue of what is ordered next
  std::map<std::pair<double, double>, double> forGone_;  // lines up to, from, that wait for so many who left
  mutable double waitingForGone_ = 0;
  mutable bool counted_ = true;  // what waits for those who left, as things stand
  Micros sentAt_ = 0;
  std::deque<Micros> times_;
  int mark_ = 0;
  bool untold_ = false;
};

// The least of the values of a span; 0: none.
class Lowest {
 public:
  void add(Micros now, double value, Micros span) {
    while (!values_.empty() && values_.front().first < now - span) values_.pop_front();
    values_.emplace_back(now, value);
  }
  double least() const {
    double low = 0;
    for (const auto& [at, v] : values_) low = low == 0 ? v : std::min(low, v);
    return low;
  }

 private:
  std::deque<std::pair<Micros, double>> values_;
};

struct Tally {
  double tries = 0, failed = 0;
  double badShare() const { return tries > 0 ? failed / tries : 0; }
};

// What was met at a server, or at all servers of a zone, from one zone.
struct Zone {
  Fading tries, failed, answers, latencySum;

  Tally tally(Micros now, Micros memory) const { return {tries.at(now, memory), failed.at(now, memory)}; }
  double latency(Micros now, Micros memory) const {
    const double n = answers.at(now, memory);
    return n > 0 ? latencySum.at(now, memory) / n : 0;
  }
  void add(Micros now, const Zone& other, Micros memory) {
    tries.add(now, other.tries.at(now, memory), memory);
    failed.add(now, other.failed.at(now, memory), memory);
    answers.add(now, other.answers.at(now, memory), memory);
    latencySum.add(now, other.latencySum.at(now, memory), memory);
  }
  // Whether there were answers.
  bool add(Micros now, const ServerLoadReport& r, Micros memory) {
    const double all = static_cast<double>(r.attempts),
                 bad = static_cast<double>(std::min(r.failures, r.attempts));
    tries.add(now, all, memory);
    failed.add(now, bad, memory);
    if (r.meanLatency <= 0 || all <= bad) return false;
    answers.add(now, all - bad, memory);
    latencySum.add(now, (all - bad) * static_cast<double>(r.meanLatency), memory);
    return true;
  }
};

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

  std::map<int, Zone> seen;  // by zone of the proxies
  Lowest latencies;
  Micros reportedAt = 0;

  // Reckoned anew for each decision.
  double heat = 0;         // of own slices as decided
  std::size_t cohort = 0;  // those that changed when it did; 0: none
  double part = 0;         // what peers' slices bring, as a share of the cohort's own heat
  double latency = 0;      // heard; 0: unheard
  double pressure = 0;     // heard latency as a share of the aims asked of it
  Tally tally;

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
      const double n = z.answers.at(now, memory), tries = z.tries.at(now, memory);
      answers += n;
      total += std::max(0.0, z.latencySum.at(now, memory) - n * way.extra);
      tally.tries += tries;
      tally.failed += std::max(0.0, z.failed.at(now, memory) - tries * way.lost);
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
inline std::map<int, std::map<int, Zone>> metBetween(const std::map<ServerId, Server>& servers, Micros now,
                                                     Micros memory) {
  std::map<int, std::map<int, Zone>> met;
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

  Lines want, sent;            // the table as decided, and as last ordered or read from the store
  ServerId home;               // the line that carries the slice
  ServerId firstHome;          // where it was when this supervisor got it
  std::vector<Fading> demand;  // by class
  std::vector<double> rates;   // reckoned anew for each decision: requests a second by class
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
