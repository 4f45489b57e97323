// The decision module of peargrade: every decision, table and tuned value is in this file.
// Its interface is include/peargrade/director.h; src/state.h holds the records it keeps.
// Parts, in order: estimates, placement and evacuation, the hot rule, admission and retries, pacing.
#include <algorithm>
#include <cstdio>
#include <set>
#include <type_traits>

#include "peargrade/director.h"
#include "state.h"

namespace peargrade {
namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

// Estimates.
constexpr Micros kSweepEvery = 250 * kMs;
constexpr Micros kDemandMemory = 5 * kSecond;
constexpr Micros kHealthMemory = 2 * kSecond;
constexpr Micros kReportsLag = 1 * kSecond;  // reports are about this late
constexpr double kFewAnswers = 4, kRepeatsMost = 3;
// The design's hot rule.
constexpr Micros kLowestSpan = 30 * kSecond;
constexpr double kHotLatency = 2;
constexpr int kHotReports = 3;
constexpr Micros kPeriod = 2 * kSecond;
constexpr double kStrengthLeast = 0.4, kWeaker = 0.9, kStronger = 0.01;
constexpr Micros kSettledStart = 10 * kSecond;
// Health.
constexpr double kFewTries = 6, kBadShare = 0.4, kSharedBadShare = 0.3, kWorseThanFleet = 3;
constexpr Micros kFailingHold = 8 * kSecond;
// Placement.
constexpr double kColdDiscount = 0.6;   // a cold server has cold keys too
constexpr double kNearlyCoolest = 1.1;  // among these the seed picks, so that supervisors differ
constexpr double kStandbyShare = 0.001;
constexpr double kRefillBelow = 0.8;
constexpr Micros kRefillEvery = 1 * kSecond;
// Admission.
constexpr double kOverloaded = 0.55, kRelaxed = 0.35;  // heard latency as a share of the aim
constexpr double kAim = 0.4, kStepLeast = 0.1, kHaste = 0.7, kHasteLeast = 0.5, kStepDown = 0.1, kAdmitLeast = 0.1, kClassLeast = 0.05, kLevelStep = 0.1;
constexpr double kStrainedBadShare = 0.15;  // of all tries: from here further tries add to the trouble
// Pacing.
constexpr double kRoutineShare = 0.5;  // of the message limit; the rest is for drains and failures
constexpr int kUrgentReserve = 2;
constexpr double kQueueShare = 0.5;  // of the lines that may wait, in case the channel is slowed
constexpr Micros kRoutineEvery = 500 * kMs;

std::string text(const char* format, const std::string& a, const std::string& b, double x = 0, double y = 0) {
  char line[200];
  std::snprintf(line, sizeof line, format, a.c_str(), b.c_str(), x, y);
  return line;
}

}  // namespace

struct Director::State {
  Settings cfg;
  Rng rng;
  Micros now = 0;
  Micros startedAt = 0;
  std::vector<Action> out;
  std::map<ServerId, Server> servers;
  std::map<TableId, Slice> slices;
  std::map<ProxyId, Proxy> proxies;
  bool booted = false, listFresh = false, subscribed = false, rulesSent = false, limitedSent = false, urgent = false;
  Micros askAgainAt = 0, askBackoff = 0;
  std::map<ServerId, double> heat, hidden;  // by server: of own slices as decided; of peers' slices as guessed
  bool limited = false;                     // most servers are limited: work is short, not misplaced
  double usual = 0;                         // what a unit of a warm server's weight bears
  double repeats = 0;                       // how often a refused client comes again
  double meanSlice = 1;                     // heat of a mean slice
  double peers = 1;                         // the whole fleet's heat against that of own slices
  std::deque<Micros> messages;              // when replies that write to proxies went out
  double queued = 0;                        // lines that wait in the channel, as reckoned
  Micros queuedAt = 0, routineAt = 0;

  State(std::uint64_t seed, const Settings& settings) : cfg(settings), rng(seed) {}

  // ---- Estimates: heat, latency, health ----

  // Work isn't told; the aim of a class stands for it, since operators grant heavier requests more time.
  double work(int cls) const { return static_cast<double>(cfg.classes[cls].aim) / kSecond; }

  double rate(const Slice& s, std::size_t cls) const {
    if (cls >= s.demand.size()) return 0;
    const double seen = static_cast<double>(now - s.givenAt) / kDemandMemory;
    const double memory = static_cast<double>(kDemandMemory) / kSecond * (1 - std::exp(-std::max(seen, 0.2)));
    const double refused = cls < s.sentLevels.size() ? 1 - s.sentLevels[cls] : 0;
    return s.demand[cls].at(now, kDemandMemory) / memory / (1 + repeats * refused);
  }

  // Clients that were refused come again and are counted again, and at some sites are refused again: taken for new
  // demand they would lower the levels, and so bring more of themselves. How many times they come is what makes the
  // tries that the servers saw fit the levels in force.
  void countRepeats() {
    double tries = 0;
    std::vector<std::pair<double, double>> arrivals;  // level, rate
    repeats = 0;
    for (const auto& [id, s] : servers) tries += s.allTries.at(now, kDemandMemory);
    tries /= static_cast<double>(kDemandMemory) / kSecond;
    for (const auto& [id, s] : slices) {
      for (std::size_t c = 0; s.mine && c < s.demand.size(); ++c) arrivals.emplace_back(s.sentLevels[c], rate(s, c));
    }
    double low = 0, high = kRepeatsMost;
    for (int i = 0; i < 6; ++i) {
      const double guess = (low + high) / 2;
      double letIn = 0;
      for (const auto& [level, r] : arrivals) letIn += level * r / (1 + guess * (1 - level));
      (letIn > tries ? low : high) = guess;
    }
    repeats = low;
  }

  double measuredHeat(const Slice& s) const {
    double sum = 0;
    for (std::size_t c = 0; c < s.demand.size(); ++c) sum += rate(s, c) * work(static_cast<int>(c));
    return sum;
  }

  // Guards against taking a slice just given, of which no report has come yet, for a cold one: it counts as a mean
  // slice until it has been heard of for a while. Otherwise a whole batch of them lands on one server.
  double heatOf(const Slice& s) const {
    const double known = static_cast<double>(now - s.givenAt - kReportsLag) / kDemandMemory;
    const double trust = std::clamp(known, 0.0, 1.0);
    return trust * measuredHeat(s) + (1 - trust) * meanSlice;
  }

  double weight(const Server& s) const {
    return s.strength * (cfg.listedWeights && s.entry.weight > 0 ? s.entry.weight : 1);
  }

  bool isCold(const Server& s) const {
    return s.entry.startedAt > 0 && now - s.entry.startedAt < cfg.warmAfter;
  }

  bool startedWithin(const Server& s, Micros span) const {
    return s.entry.startedAt > 0 && now - s.entry.startedAt < span;
  }

  // The part of a server's weight that can be used now: a cold one ramps up evenly over the stated time.
  double usableWeight(const Server& s) const {
    if (!isCold(s)) return weight(s);
    const double age = std::max(0.0, static_cast<double>(now - s.entry.startedAt) / cfg.warmAfter);
    return weight(s) * kColdDiscount * (cfg.startCapacity + (1 - cfg.startCapacity) * age);
  }

  bool ready(const Server& s) const { return s.listed && s.entry.state == ServerState::Ready; }
  bool usable(const Server& s) const { return ready(s) && !s.failing; }

  double latency(const Server& s) const {
    const double n = s.answers.at(now, kHealthMemory);
    return n < 0.5 ? 0 : s.latencySum.at(now, kHealthMemory) / n;
  }

  double lowestLatency(const Server& s) const {
    double low = 0;
    for (const auto& [at, l] : s.latencies) low = low == 0 ? l : std::min(low, l);
    return low;
  }

  double latencyRatio(const Server& s) const {  // 1: unheard servers count as average
    const double low = lowestLatency(s), l = latency(s);
    return low > 0 && l > 0 ? l / low : 1;
  }

  // Heat by server, from the tables as decided, so that moves in flight count at their target. What peers' slices
  // bring is unseen: the store's first tables are taken as fair, so it is what own slices lacked there at first;
  // on a server that changed since, peers are taken to have done as this supervisor did.
  void sumHeat() {
    heat.clear();
    hidden.clear();
    peers = 1;
    double all = 0, weights = 0;
    int mine = 0, known = 0;
    std::map<ServerId, double> first;
    meanSlice = 0;
    for (const auto& [id, s] : slices) {
      if (!s.mine || now - s.givenAt < kReportsLag + kDemandMemory / 2) continue;
      meanSlice += measuredHeat(s);
      ++known;
    }
    meanSlice = known > 0 && meanSlice > 0 ? meanSlice / known : 1;
    for (const auto& [id, s] : slices) {
      if (!s.mine) continue;
      const double h = heatOf(s);
      heat[s.home] += h;
      first[s.firstHome] += h;
      all += h;
      ++mine;
    }
    for (const auto& [id, s] : servers) weights += ready(s) ? weight(s) : 0;
    const double seen = cfg.slices > 0 ? static_cast<double>(mine) / cfg.slices : 1;
    if (seen <= 0 || seen >= 1 || weights <= 0) return;
    peers = 1 / seen;
    for (const auto& [id, s] : servers) {
      const double fair = all / seen * weight(s) / weights;
      hidden[id] = s.changedAt > 0 ? heat[id] * (peers - 1) : std::max(0.0, fair - first[id]);
    }
  }

  // Peers are taken to send a changed server as much again as this supervisor does.
  double load(const ServerId& id, double more = 0) {
    const Server& s = servers[id];
    return (heat[id] + hidden[id] + more * (s.changedAt > 0 ? peers : 1)) / std::max(1e-9, usableWeight(s));
  }

  double meanLoad() {
    double sum = 0, weights = 0;
    for (const auto& [id, s] : servers) {
      sum += heat[id] + hidden[id];
      if (usable(s)) weights += usableWeight(s);
    }
    return weights > 0 ? sum / weights : 0;
  }

  void heard(const ServerReport& r) {
    auto it = servers.find(r.server);
    if (it == servers.end() || cfg.classes.empty()) return;
    Server& s = it->second;
    const Micros late = kReportsLag + r.window;
    if (s.entry.startedAt > 0 && now - late < s.entry.startedAt) return;  // of its life before, or too near it
    const double answers = static_cast<double>(std::max<std::int64_t>(0, r.tries - r.failed));
    Met& met = s.met[r.zone];
    s.allTries.add(now, static_cast<double>(r.tries), kDemandMemory);
    met.tries.add(now, static_cast<double>(r.tries), kHealthMemory);
    met.failed.add(now, static_cast<double>(std::min(r.failed, r.tries)), kHealthMemory);
    if (r.latency > 0 && answers > 0) {
      s.answers.add(now, answers, kHealthMemory);
      s.latencySum.add(now, answers * static_cast<double>(r.latency), kHealthMemory);
    }
    s.reportedAt = now;
    if (s.answers.at(now, kHealthMemory) >= kFewAnswers) {
      while (!s.latencies.empty() && s.latencies.front().first < now - kLowestSpan) s.latencies.pop_front();
      s.latencies.emplace_back(now, latency(s));
    }
  }

  void asked(const SliceDemand& d) {
    auto it = slices.find(d.slice);
    if (it == slices.end() || !it->second.mine || d.cls < 0 || d.cls >= static_cast<int>(cfg.classes.size())) {
      return;
    }
    it->second.demand[d.cls].add(now, static_cast<double>(d.requests), kDemandMemory);
  }

  // Zones whose proxies meet failure at most servers: the cause lies with the zone or is shared, not with a server.
  std::set<int> blindZones() const {
    std::map<int, std::vector<double>> shares;
    for (const auto& [id, s] : servers) {
      for (const auto& [zone, met] : s.met) {
        const double tries = met.tries.at(now, kHealthMemory);
        if (tries >= 1) shares[zone].push_back(met.failed.at(now, kHealthMemory) / tries);
      }
    }
    std::set<int> blind;
    for (auto& [zone, list] : shares) {
      std::sort(list.begin(), list.end());
      if (list[list.size() / 2] > kSharedBadShare) blind.insert(zone);
    }
    return blind;
  }

  struct Sum {
    double tries = 0, failed = 0;
  };
  Sum met(const Server& s, const std::set<int>& blind = {}) const {
    Sum sum;
    for (const auto& [zone, met] : s.met) {
      if (blind.count(zone) > 0) continue;
      sum.tries += met.tries.at(now, kHealthMemory);
      sum.failed += met.failed.at(now, kHealthMemory);
    }
    return sum;
  }

  // Heard latency as a share of the aims of what is asked of the server.
  double pressure(const ServerId& id) {
    double requests = 0, aims = 0;
    for (const auto& [t, slice] : slices) {
      if (!slice.mine || slice.home != id) continue;
      aims += measuredHeat(slice);
      for (std::size_t c = 0; c < slice.demand.size(); ++c) requests += rate(slice, c);
    }
    return requests > 0 && aims > 0 ? latency(servers[id]) / (aims / requests * kSecond) : 0;
  }

  // Guards against whatever makes a server useless while it is listed: quick errors, refused or silent connections.
  // Judged by answers against tries where most others do well. A slow server that refuses is overloaded, not broken:
  // moving its load elsewhere would only pass that on.
  void judgeHealth() {
    const std::set<int> blind = blindZones();
    Sum all;
    for (const auto& [id, s] : servers) {
      const Sum own = met(s, blind);
      all.tries += own.tries;
      all.failed += own.failed;
    }
    for (auto& [id, s] : servers) {
      if (s.failing) {
        if (now >= s.failingUntil) {
          s.failing = false;
          s.met.clear();
          s.changedAt = now;
          log(text("try %s again%s", id, ""));
        }
        continue;
      }
      const Sum own = met(s, blind);
      if (!ready(s) || own.tries < kFewTries || own.failed < kBadShare * own.tries) continue;
      const double others = (all.failed - own.failed) / std::max(1.0, all.tries - own.tries);
      if (own.failed < kWorseThanFleet * others * own.tries) continue;
      const bool answersSlowly = own.tries - own.failed > 0.2 * own.tries && pressure(id) > kRelaxed;
      if (answersSlowly) continue;
      const double failed = own.failed, tries = own.tries;
      s.failing = true;
      s.failingHold = s.failingHold == 0 ? kFailingHold : 2 * s.failingHold;
      s.failingUntil = now + s.failingHold;
      log(text("%s fails%s: %.0f of %.0f tries", id, "", failed, tries));
    }
  }

  // ---- The server list ----

  void listed(const ListNews& news) {
    if (news.mode == ListMode::Failed) {
      subscribed = false;
      askBackoff = std::clamp<Micros>(askBackoff * 2, 500 * kMs, std::max<Micros>(cfg.askWithin / 4, kSecond));
      askAgainAt = now + askBackoff;
      return;
    }
    if (news.mode == ListMode::Full) {
      for (auto& [id, s] : servers) s.listed = false;
    }
    for (const ServerEntry& e : news.entries) {
      Server& s = servers[e.server];
      const bool known = s.listed || s.entry.startedAt > 0;
      const bool restarted = known && e.startedAt > s.entry.startedAt;
      s.listed = e.state != ServerState::Gone;
      const ServerEntry before = s.entry;
      s.entry = e;
      if (e.startedAt < before.startedAt) s.entry.startedAt = before.startedAt;
      if (e.state == ServerState::Ready && (restarted || (news.mode != ListMode::Cached && startedWithin(s, cfg.warmAfter)))) {
        if (e.startedAt > before.startedAt) started(e.server, s);
      }
    }
    if (news.mode != ListMode::Cached) {
      listFresh = true;
      askBackoff = 0;
    }
  }

  // A server that starts is empty of keys and cold, whatever its slices say: forget its former life.
  void started(const ServerId& id, Server& s) {
    const ServerEntry entry = s.entry;
    s = Server{};
    s.entry = entry;
    s.listed = true;
    s.changedAt = now;
    s.movedAt = now;
    (void)id;
  }

  void followList() {
    if (!cfg.listOnRequest || subscribed || now < askAgainAt) return;
    out.push_back(WatchList{true});
    subscribed = true;
  }

  // ---- Placement and evacuation ----

  // The coolest by projected heat per unit of usable weight. Near ties are broken by the seed, so that two
  // supervisors that see the same do not both choose the same.
  template <class Allowed>
  ServerId coolest(double h, Allowed allowed) {
    double best = -1;
    for (const auto& [id, s] : servers) {
      if (allowed(id, s) && (best < 0 || load(id, h) < best)) best = load(id, h);
    }
    std::vector<ServerId> near;
    for (const auto& [id, s] : servers) {
      if (allowed(id, s) && load(id, h) <= best * kNearlyCoolest) near.push_back(id);
    }
    return near.empty() ? ServerId() : near[rng.next() % near.size()];
  }

  void move(TableId table, Slice& s, const ServerId& to, const char* reason) {
    const double h = heatOf(s);
    log(text("slice %s to ", std::to_string(table), "") + to + text(" from %s: %s", s.home, reason));
    const auto old = s.want.find(s.home);
    const double w = old == s.want.end() ? 1 : old->second;
    if (old != s.want.end()) s.want.erase(old);
    heat[s.home] -= h;
    heat[to] += h;
    if (servers[to].changedAt > 0) hidden[to] += h * (peers - 1);
    s.want[to] = w;
    s.home = to;
    s.movedAt = now;
  }

  // Design item 2: unhomed slices, then those on servers that are draining, gone, failing or just started.
  void evacuate() {
    std::vector<std::pair<double, TableId>> order;
    for (auto& [id, s] : slices) {
      if (s.mine && mustLeave(s)) order.emplace_back(s.home.empty() ? -1e18 : -heatOf(s), id);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [key, id] : order) {
      Slice& s = slices[id];
      const double h = heatOf(s);
      ServerId to = coolest(h, [&](const ServerId& t, const Server& v) {
        return t != s.home && usable(v) && !startedWithin(v, 2 * kSecond);
      });
      if (to.empty()) {
        to = coolest(h, [&](const ServerId& t, const Server& v) { return t != s.home && ready(v); });
      }
      if (to.empty()) continue;
      const bool none = s.home.empty();
      move(id, s, to, none ? "unhomed" : whyLeave(servers[s.home]));
      urgent = true;
    }
  }

  const char* whyLeave(const Server& v) const {
    if (!v.listed) return "gone";
    if (v.entry.state == ServerState::Draining) return "draining";
    return v.failing ? "failing" : "restarted";
  }

  bool mustLeave(const Slice& s) const {
    if (s.home.empty()) return true;
    const auto it = servers.find(s.home);
    if (it == servers.end() || !it->second.listed) return listFresh;  // an old list may not know it yet
    if (!usable(it->second)) return true;
    return s.movedAt < it->second.entry.startedAt && startedWithin(it->second, cfg.warmAfter);
  }

  // Departure: the design leaves a returned server idle until another is hot. A server that changed and stands
  // under the mean takes slices, one at a time, from the most loaded, as far as its ramp carries them.
  void refill() {
    const double mean = meanLoad();
    for (auto& [id, r] : servers) {
      if (r.changedAt == 0 || !usable(r) || now - r.gaveAt < kRefillEvery || startedWithin(r, 5 * kSecond)) continue;
      if (load(id) >= kRefillBelow * mean) continue;
      const double room = mean * usableWeight(r) - heat[id] - hidden[id];
      ServerId donor;
      for (const auto& [d, s] : servers) {
        if (d == id || !usable(s) || now < s.nextMoveAt || load(d) <= mean) continue;
        if (donor.empty() || load(d) > load(donor)) donor = d;
      }
      if (donor.empty()) continue;
      for (TableId t : byHalfOfHottest(donor)) {
        if (heatOf(slices[t]) > room) continue;
        move(t, slices[t], id, "refill");
        r.gaveAt = now;
        servers[donor].nextMoveAt = now + kRefillEvery;
        break;
      }
    }
  }

  // Departure: each slice keeps a standby line of very small weight, so that a proxy has where to go at once when
  // the home is down, refuses or is out of its reach. Acts from the start; not where a slice may have one owner only.
  void standBy() {
    if (cfg.oneOwner) return;
    std::map<std::pair<ServerId, ServerId>, int> pairs;
    std::map<ServerId, double> load2;
    std::vector<TableId> lacking;
    for (auto& [id, s] : slices) {
      if (!s.mine || s.home.empty()) continue;
      bool has = false;
      for (auto line = s.want.begin(); line != s.want.end();) {
        if (line->first == s.home) {
          ++line;
          continue;
        }
        const auto v = servers.find(line->first);
        const bool good = v != servers.end() && usable(v->second) && !startedWithin(v->second, cfg.warmAfter);
        if (!good && (v != servers.end() || listFresh)) {
          if (v == servers.end() || !ready(v->second)) urgent = true;
          line = s.want.erase(line);
          continue;
        }
        has = true;
        ++pairs[{s.home, line->first}];
        load2[line->first] += heatOf(s);
        ++line;
      }
      if (!has) lacking.push_back(id);
    }
    for (TableId id : lacking) {
      Slice& s = slices[id];
      const int zone = servers.count(s.home) > 0 ? servers[s.home].entry.zone : -1;
      ServerId best;
      double bestCost = 0;
      for (const auto& [t, v] : servers) {
        if (t == s.home || !usable(v) || isCold(v)) continue;
        const double cost = pairs[{s.home, t}] * 10 + (v.entry.zone == zone ? 100 : 0) +
                            load2[t] / weight(v) / (meanLoad() + 1e-9) + rng.uniform() * 0.01;
        if (best.empty() || cost < bestCost) {
          best = t;
          bestCost = cost;
        }
      }
      if (best.empty()) continue;
      s.want[best] = s.want[s.home] * kStandbyShare;
      ++pairs[{s.home, best}];
      load2[best] += heatOf(s);
    }
  }

  // ---- The hot rule ----

  void judgeHot() {
    double all = 0, weights = 0;
    for (const auto& [id, s] : servers) {
      all += heat[id] + hidden[id];
      if (usable(s)) weights += weight(s);
    }
    for (auto& [id, s] : servers) {
      if (s.reportedAt <= s.hotJudgedAt || now - s.hotJudgedAt < cfg.reportEvery) continue;
      s.hotJudgedAt = now;
      const Micros settled = s.movedAt + cfg.orderDelay + cfg.reportEvery + kReportsLag;
      const bool hot = now >= settled && weights > 0 && latency(s) > kHotLatency * lowestLatency(s) &&
                       lowestLatency(s) > 0 && heat[id] + hidden[id] > all * weight(s) / weights;
      s.hotRuns = hot ? s.hotRuns + 1 : 0;
    }
  }

  // Departure: weights are not listed, or roughly. A server that is pressed at its fair heat while most are not is
  // weaker than listed, whatever the cause; it then counts for less until it is at ease for long. Holds against slow
  // machines, neighbours and costly keys alike; could harm where a short trouble makes many look weak in turn.
  void judgeStrength() {
    std::vector<double> pressures;
    for (const auto& [id, s] : servers) {
      if (usable(s)) pressures.push_back(pressure(id));
    }
    std::sort(pressures.begin(), pressures.end());
    if (pressures.empty() || pressures[pressures.size() / 2] > kRelaxed) return;
    for (auto& [id, s] : servers) {
      const Micros settle = cfg.orderDelay + cfg.reportEvery + kReportsLag;
      if (!usable(s) || isCold(s) || now - s.strengthAt < settle || now - s.movedAt < settle) continue;
      const double p = pressure(id);
      if (p > kOverloaded && load(id) > meanLoad() * 0.7) s.strength = std::max(kStrengthLeast, s.strength * kWeaker);
      else if (p < kRelaxed) s.strength = std::min(1.0, s.strength + kStronger);
      else continue;
      s.strengthAt = now;
    }
  }

  bool isHot(const Server& s) const { return s.hotRuns >= kHotReports; }

  // Design items 5 and 6: at half the heat of the hottest or nearest above it, then nearest below, then the
  // hottest, then cold ones.
  std::vector<TableId> byHalfOfHottest(const ServerId& id) {
    double hottest = 0;
    for (const auto& [t, s] : slices) {
      if (s.mine && s.home == id) hottest = std::max(hottest, heatOf(s));
    }
    std::vector<std::tuple<int, double, TableId>> order;
    for (const auto& [t, s] : slices) {
      if (!s.mine || s.home != id) continue;
      const double h = heatOf(s);
      if (h <= 0) order.emplace_back(3, 0, t);
      else if (h >= hottest) order.emplace_back(2, 0, t);
      else if (h >= hottest / 2) order.emplace_back(0, h, t);
      else order.emplace_back(1, -h, t);
    }
    std::sort(order.begin(), order.end());
    std::vector<TableId> tables;
    for (const auto& entry : order) tables.push_back(std::get<2>(entry));
    return tables;
  }

  void coolHot() {
    int open = 0, hot = 0;
    double all = 0, weights = 0;
    for (const auto& [id, s] : servers) {
      all += heat[id] + hidden[id];
      if (!usable(s)) continue;
      ++open;
      hot += isHot(s);
      weights += weight(s);
    }
    if (hot == 0 || hot == open) return;  // item 4
    const double mean = meanLoad();
    for (auto& [id, s] : servers) {
      if (!usable(s) || !isHot(s) || now < s.nextMoveAt) continue;
      for (TableId t : byHalfOfHottest(id)) {
        const double h = heatOf(slices[t]);
        const ServerId to = coolest(h, [&](const ServerId& c, const Server& v) {
          return c != id && usable(v) && !isHot(v) && !startedWithin(v, kSettledStart) && load(c) < mean &&
                 h <= all * weight(v) / weights;
        });
        if (to.empty()) continue;
        move(t, slices[t], to, "hot");
        s.hotRuns = 0;
        s.movedAt = now;
        s.nextMoveAt = now + static_cast<Micros>(kPeriod * (1 + 2 * rng.uniform()));
        break;
      }
    }
  }

  // ---- Admission and retries ----

  // A further try never goes beyond what cannot take effect twice.
  SecondTry secondTry(const RequestClass& c) const {
    if (c.effect == Effect::Repeatable && !limited) return SecondTry::AfterAnyFailure;
    return SecondTry::AfterProof;
  }

  // Each server's allowance is heat per unit of usable weight. It is learned: a pressed server's is set a step under
  // what it now lets in, and raised in steps while it is relaxed until it binds no more. Being a density it also
  // says at once, before any report, what a server may take that has just got slices or has just started.
  void admit() {
    std::vector<double> allowances;
    Sum all;
    std::size_t open = 0;
    double taken = 0, weights = 0;
    for (auto& [id, s] : servers) {
      if (!usable(s) || isCold(s)) continue;
      const double density = (heat[id] + hidden[id]) * s.strength / usableWeight(s);
      const double pressed = pressure(id);
      const Sum own = met(s);
      all.tries += own.tries;
      all.failed += own.failed;
      ++open;
      const double bad = own.tries > 0 ? own.failed / own.tries : 0;
      const Micros settle = cfg.orderDelay + cfg.reportEvery + kReportsLag;
      if ((pressed > kOverloaded || (bad > 0.2 && pressed > kRelaxed)) && now - s.allowedAt > settle) {
        s.allowance = (s.allowance > 0 ? std::min(s.allowance, density) : density) * (1 - kStepDown);
        s.rises = 0;
        s.allowedAt = now;
      } else if (pressed < kRelaxed && bad < 0.1 && s.allowance > 0 && now - s.allowedAt > settle) {
        s.allowance = s.allowance > density ? 0 : s.allowance * (1 + kStepLeast * ++s.rises);
        s.allowedAt = now;
      }
      if (s.allowance > 0) allowances.push_back(s.allowance);
      taken += s.admitted * (heat[id] + hidden[id]);
      weights += usableWeight(s) / s.strength;
    }
    std::sort(allowances.begin(), allowances.end());
    if (weights > 0) usual = taken / weights;
    limited = 3 * allowances.size() > open || all.failed > kStrainedBadShare * all.tries;
    for (auto& [id, s] : servers) {
      const double density = (heat[id] + hidden[id]) * s.strength / usableWeight(s);
      // Guards the cold against all loads, whoever sends them: what the warm bear, by usable weight, and no more.
      const double haste = std::clamp(1 - kHaste * (pressure(id) - kOverloaded), kHasteLeast, 1.0);
      const double allowed = isCold(s) ? usual : s.allowance * haste;
      s.admitted = allowed > 0 && density > allowed ? std::max(kAdmitLeast, allowed / density) : 1;
    }
    setLevels();
  }

  // What is not let in is taken from the classes of least worth per work first.
  void setLevels() {
    const std::size_t n = cfg.classes.size();
    std::vector<double> demand(n, 0);
    double all = 0;
    for (const auto& [t, s] : slices) {
      for (std::size_t c = 0; c < s.demand.size(); ++c) {
        demand[c] += rate(s, c) * work(static_cast<int>(c));
        all += rate(s, c) * work(static_cast<int>(c));
      }
    }
    std::vector<std::size_t> order(n);
    for (std::size_t c = 0; c < n; ++c) order[c] = c;
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return cfg.classes[a].worth / work(static_cast<int>(a)) < cfg.classes[b].worth / work(static_cast<int>(b));
    });
    for (auto& [t, s] : slices) {
      if (!s.mine) continue;
      const auto home = servers.find(s.home);
      double cut = home == servers.end() ? 0 : (1 - home->second.admitted) * all;
      s.levels.assign(n, 1);
      for (std::size_t c : order) {
        if (cut <= 0 || demand[c] <= 0) continue;
        const double take = std::min(cut, (1 - kClassLeast) * demand[c]);
        const double level = std::round((1 - take / demand[c]) * 20) / 20;
        if (std::abs(level - s.sentLevels[c]) < kLevelStep && level < 1) s.levels[c] = s.sentLevels[c];
        else s.levels[c] = level;
        cut -= take;
      }
    }
  }

  // ---- Pacing ----

  void log(const std::string& line) { out.push_back(Log{line}); }

  double linesQueued() const {
    return std::max(0.0, queued - static_cast<double>(now - queuedAt) / kSecond * cfg.linesPerSecond / 2);
  }

  bool mayWrite(double lines) {
    if (proxies.empty()) return true;
    const double cost = static_cast<double>(proxies.size()) * (cfg.linesPerMessage + lines);
    if (linesQueued() + cost > cfg.linesWaitingMax * kQueueShare && linesQueued() > 0) return false;
    while (!messages.empty() && messages.front() <= now - cfg.messagesSpan) messages.pop_front();
    const int sent = static_cast<int>(messages.size());
    if (cfg.messagesPerProxyMax > 0) {
      const double most = urgent ? cfg.messagesPerProxyMax - kUrgentReserve : kRoutineShare * cfg.messagesPerProxyMax;
      if (sent >= most) return false;
    }
    return urgent || now - routineAt >= kRoutineEvery;
  }

  // Sends what differs between the tables as decided and as sent: changed lines only, gathered into one message.
  void flush() {
    std::vector<Action> orders;
    if (!rulesSent || limited != limitedSent) {
      std::map<SecondTry, unsigned> masks;
      for (std::size_t c = 0; c < cfg.classes.size(); ++c) masks[secondTry(cfg.classes[c])] |= 1u << c;
      for (const auto& [how, mask] : masks) orders.push_back(Admit{kAllTables, mask, 1, how});
    }
    for (auto& [id, s] : slices) {
      if (!s.mine) continue;
      for (const auto& [server, w] : s.want) {
        const auto was = s.sent.find(server);
        if (was == s.sent.end() || was->second != w) orders.push_back(SetLine{id, server, w});
      }
      for (const auto& [server, w] : s.sent) {
        if (s.want.count(server) == 0) orders.push_back(SetLine{id, server, 0});
      }
      for (std::size_t c = 0; c < s.levels.size() && cfg.levelUnit == LevelUnit::Share; ++c) {
        if (s.levels[c] != s.sentLevels[c]) {
          orders.push_back(Admit{id, 1u << c, s.levels[c], secondTry(cfg.classes[c])});
        }
      }
    }
    if (orders.empty() || proxies.empty() || !mayWrite(static_cast<double>(orders.size()))) return;
    for (auto& [id, s] : slices) {
      if (!s.mine) continue;
      s.sent = s.want;
      s.sentLevels = s.levels;
    }
    rulesSent = true;
    limitedSent = limited;
    queued = linesQueued() + static_cast<double>(proxies.size()) *
                                 (cfg.linesPerMessage + static_cast<double>(orders.size()));
    queuedAt = now;
    messages.push_back(now);
    routineAt = now;
    urgent = false;
    out.insert(out.end(), orders.begin(), orders.end());
  }

  // ---- Events ----

  void on(const ListNews& e) { listed(e); }
  void on(const TimerFired&) {}
  void on(const ProbeResult&) {}
  void on(const PeerNote&) {}
  void on(const ProxyJoined& e) {
    proxies[e.proxy] = Proxy{e.zone, now};
    rulesSent = false;
  }
  void on(const ProxyLeft& e) { proxies.erase(e.proxy); }
  void on(const ServerReport& e) { heard(e); }
  void on(const ProxyDemand&) {}
  void on(const SliceDemand& e) { asked(e); }
  void on(const SliceCharge& e) {
    Slice fresh;
    fresh.mine = e.given;
    fresh.givenAt = now;
    fresh.movedAt = now;
    fresh.demand.resize(cfg.classes.size());
    fresh.levels.assign(cfg.classes.size(), 1);
    fresh.sentLevels = fresh.levels;
    slices[e.slice] = std::move(fresh);
  }
  void on(const StoredLine& e) {
    const auto it = slices.find(e.slice);
    if (it == slices.end() || !it->second.mine || e.weight <= 0) return;
    Slice& s = it->second;
    s.sent[e.server] = s.want[e.server] = e.weight;
    if (s.home.empty() || e.weight > s.want[s.home]) s.home = s.firstHome = e.server;
  }
  void on(const OrderApplied&) {}

  void decide() {
    followList();
    countRepeats();
    sumHeat();
    judgeHealth();
    evacuate();
    judgeStrength();
    judgeHot();
    coolHot();
    refill();
    standBy();
    admit();
    flush();
  }
};

Director::Director(std::uint64_t seed, const Settings& settings)
    : state_(std::make_unique<State>(seed, settings)) {}
Director::~Director() = default;
Director::Director(Director&&) noexcept = default;
Director& Director::operator=(Director&&) noexcept = default;

std::vector<Action> Director::handle(Micros now, const std::vector<Event>& events) {
  State& st = *state_;
  st.now = now;
  st.out.clear();
  bool due = !st.booted;
  for (const Event& event : events) {
    std::visit([&](const auto& e) { st.on(e); }, event);
    due = due || !(std::holds_alternative<ServerReport>(event) || std::holds_alternative<SliceDemand>(event));
    if (std::holds_alternative<TimerFired>(event)) st.out.push_back(SetTimer{kSweepEvery, "sweep"});
  }
  if (!st.booted) st.out.push_back(SetTimer{kSweepEvery, "sweep"});
  if (!st.booted) st.startedAt = now;
  st.booted = true;
  if (due) st.decide();
  return std::move(st.out);
}

}  // namespace peargrade
