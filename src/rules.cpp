// The decision module of peargrade: every decision, table and tuned value is in this file.
// Its interface is include/peargrade/decision_engine.h; src/state.h holds the records it keeps.
// Parts, in order: estimates, placement and evacuation, the hot rule, admission and retries, pacing, events.
#include "peargrade/decision_engine.h"
#include "state.h"

namespace peargrade {
namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

// Estimates. Reports are about kReportsLag late; no setting tells.
constexpr Micros kSweepEvery = 250 * kMs, kReportsLag = 1 * kSecond, kProbeFirst = 500 * kMs,
                 kOldListHolds = 500 * kMs;
constexpr Micros kDemandMemory = 5 * kSecond, kHealthMemory = 2 * kSecond, kLowestSpan = 30 * kSecond;
constexpr double kWayMargin = 2, kWayLoss = 0.05, kFewAnswers = 4;
// Health: failing from this share of tries, if that is so many times what the others show.
constexpr double kFewTries = 6, kBadShare = 0.4, kWorseThanFleet = 3, kStillAnswers = 0.2;
// Placement. A cold server has cold keys too; among the nearly coolest the seed picks.
constexpr double kColdDiscount = 0.85, kColdStrained = 0.7, kNearlyCoolest = 1.1, kNextToGo = 1.3;
constexpr double kStandbyShare = 0.001, kTrialShare = 0.1, kRefillBelow = 0.8, kWithstands = 0.67;
constexpr Micros kRollingSpan = 10 * kSecond, kLeftSpan = 30 * kSecond, kTargetAge = 2 * kSecond,
                 kRefillEvery = 1 * kSecond, kCohortSpan = 5 * kSecond;
// The hot rule of the design.
constexpr Micros kPeriod = 2 * kSecond, kSettledStart = 10 * kSecond, kFailingHold = 8 * kSecond;
constexpr double kHotLatency = 2, kHotReports = 3, kStrengthLeast = 0.4, kWeaker = 0.8, kStronger = 0.01,
                 kFairLoad = 0.7;
// Admission: pressure is heard latency as a share of the aim.
constexpr double kOverloaded = 0.55, kRelaxed = 0.3, kRefusing = 0.2, kStep = 0.1, kSlowStep = 0.03;
constexpr double kNearPressed = 0.85, kDeepest = 0.8, kAnsweredLeast = 0.4, kHaste = 0.7, kHasteLeast = 0.5;
constexpr double kAdmitLeast = 0.1, kClassLeast = 0.05, kLevelStep = 0.1, kCoarseStep = 0.3;
constexpr double kLevelGrain = 0.05, kUsualRise = 0.1, kStrainedBadShare = 0.15;  // a second; of all tries
// Pacing. By urgency: the share of the message limit and of the lines that may wait. How slow the channel may
// be is not told: kSlowChannel times slower than it says only counts where confirmations stay away. What must
// go waits for kGatherShare of a message's room.
constexpr double kMessageShare[] = {0.95, 0.7, 0.55, 0.5, 0.4}, kQueueShare[] = {0.9, 0.75, 0.6, 0.5, 0.25};
constexpr double kSlowChannel = 16, kGatherShare = 0.25, kLevelShare = 0.5;
constexpr Micros kNewsLag = 1 * kSecond, kGraceMargin = 300 * kMs, kRoutineEvery = 500 * kMs,
                 kAskFirst = 250 * kMs;

}  // namespace

struct DecisionEngine::State {
  Settings cfg;
  Random rng;
  Micros now = 0;
  std::vector<Action> out;
  std::map<ServerId, Server> servers;
  std::map<TableId, Slice> slices;
  UpdateChannel channel;
  std::vector<Action> inHand;  // the last reply's orders, until it is told what became of them
  bool awaiting = false, missed = false, held = false, again = false;  // its fate; orders wait, may go now
  bool listFresh = false, subscribed = false, joined = false;  // joined: a proxy did, since the last decision
  Micros bornAt = 0, rollingUntil = 0, askAgainAt = 0, askBackoff = kAskFirst;
  // Of the fleet, reckoned anew for each decision.
  double mean = 0, allHeat = 0, allWeight = 0;  // load, and weight as if all were warm, of usable servers
  double onTrial = 0, newcomers = 0, left = 0;  // slices on unproved servers; those; servers that left
  std::vector<double> cohorts = {0};            // own heat on each, the first stands for none
  double peers = 1;                             // the whole fleet's heat against that of own slices
  std::vector<double> works, demand;            // by class: of a request; heat of own slices
  AttemptCounts fleet;
  double typical = 0;           // pressure, of usable servers
  double usual = 0, letIn = 1;  // heat that a unit of a warm server's weight bears; share of heat let in
  bool strained = false, strainedSent = false, rulesSent = false;
  std::vector<double> fleetLevels, fleetSent;  // by class, for all slices; a slice's own may be lower
  std::vector<std::size_t> byWorth;            // classes, least worth per work first
  Ways ways;
  Micros routineAt = 0, usualAt = 0, heardFrom = 0;  // the first reports of demand begin there

  State(std::uint64_t seed, const Settings& settings) : rng(seed) {
    on(SettingsChanged{settings});
    fleetSent = fleetLevels = std::vector<double>(works.size(), 1);
  }
  void on(const SettingsChanged& e) {  // records by class keep their size
    if (!works.empty() && e.settings.classes.size() != works.size()) return;
    rulesSent = rulesSent && sameRetries(cfg, e.settings);
    cfg = e.settings;
    // Work isn't told; the aim of a class stands for it: operators grant heavier requests more time.
    works.clear();
    for (const RequestClass& c : cfg.classes)
      works.push_back(static_cast<double>(c.latencyObjective) / kSecond);
    byWorth = leastWorthFirst(cfg.classes, works);
  }

  // ---- Estimates ----

  // Rates are counted over the time that reports cover: the first of them are not all. A slice just given
  // counts as a mean one for a while: else a batch of them lands on one server.
  void reckonHeat() {
    double known = 0, sum = 0;
    demand.assign(cfg.classes.size(), 0);
    for (auto& [t, s] : slices) {
      const Micros from = s.givenAt > heardFrom ? s.givenAt + kReportsLag : heardFrom;
      s.reckon(now, std::max(cfg.reportInterval, now - from), kDemandMemory, works);
      for (std::size_t c = 0; c < demand.size(); ++c) demand[c] += s.rates[c] * works[c];
      if (now - s.givenAt < kReportsLag + kDemandMemory / 2) continue;
      sum += s.heat;
      known += 1;
    }
    for (auto& [t, s] : slices) {
      const double trust = static_cast<double>(now - s.givenAt - kReportsLag) / kDemandMemory;
      s.heat += (1 - std::clamp(trust, 0.0, 1.0)) * ((sum > 0 ? sum / known : 1) - s.heat);
    }
  }

  double listedWeight(const Server& s) const { return s.listedWeight(cfg.endpointsHaveWeights); }
  double weight(const Server& s) const { return s.strength * listedWeight(s); }
  bool isCold(const Server& s) const { return s.startedWithin(now, cfg.slowStartWindow); }

  // What it counts for: what is stated is the least, one heard at ease bears half of what pushes it over.
  double ramp(const Server& s) const {
    const double least = strained ? kColdStrained : kColdDiscount;
    const bool ease = s.pressure > 0 && s.pressure < kRelaxed;
    const double bears = ease ? std::max(least, cfg.overloadFactor / 2) : least;
    return isCold(s) ? std::min(1.0, bears * s.warmth(now, cfg)) : 1;
  }
  // Guards against what is harmless alone: it stands even if each supervisor gives it as much as this one.
  bool withstands(const Server& s, double more) const {
    const double most = kWithstands * cfg.overloadFactor * usual * listedWeight(s) * s.warmth(now, cfg);
    return !isCold(s) || usual <= 0 || letIn * peers * (s.heat + more) <= most;
  }

  // Projected heat per unit of usable weight. Peers are taken to send a changed cohort as much more as this
  // one does, but while work is not short a server's first slice counts alone: in a cohort of one it would
  // often fit nowhere with its like.
  double load(const Server& s, double more = 0) const {
    const double echo = s.changedAt > 0 && (s.heat > 0 || strained) ? s.part : 0;
    return (heatOn(s) + more * (1 + echo)) / std::max(1e-9, weight(s) * ramp(s));
  }
  // Heat of all supervisors' slices there. Own slices are a fair sample of all: what they say of one server
  // is chance, what they say of a cohort, servers that changed at one time or not at all, holds for peers'.
  double heatOn(const Server& s) const { return s.heat + s.part * cohorts[s.cohort]; }

  // What changed by then is filled no more and is one cohort: else slices would go to and fro all day.
  Micros settledBy() const { return std::max<Micros>(0, now - cfg.slowStartWindow - kLeftSpan); }

  Micros settle() const { return cfg.pushDelay + cfg.reportInterval + kReportsLag; }  // until reports show it

  // Guards against taking a bad way between zones (slow, lossy or cut) for bad servers: what one zone's
  // proxies meet at all servers of a zone beyond what the best placed proxies meet there is the way's.
  void reckonWays() {
    ways.clear();
    for (const auto& [there, zones] : metBetween(servers, now, kHealthMemory)) {
      double least = 1e18, lost = 1;
      for (const auto& [here, m] : zones) {
        if (const double l = m.meanLatency(now, kHealthMemory); l > 0) least = std::min(least, l);
        lost = std::min(lost, m.counts(now, kHealthMemory).failureShare());
      }
      for (const auto& [here, m] : zones) {
        const double slow = m.meanLatency(now, kHealthMemory),
                     bad = m.counts(now, kHealthMemory).failureShare();
        ways[{there, here}] = {slow > kWayMargin * least ? slow - least : 0,
                               bad > lost + kWayLoss ? bad - lost : 0};
      }
    }
  }

  // Heat by server, from the tables as decided. What peers' slices bring is unseen. On a cohort it is what
  // own slices bring there, as often as there are more of them; within one it goes by weight, or where
  // nothing changed by what own slices lacked of a fair share in the store's first tables.
  void reckon() {
    reckonHeat();
    reckonWays();
    double weights = 0, ramped = 0;
    std::map<ServerId, double> first, requests, aims;
    allHeat = allWeight = onTrial = newcomers = left = 0;
    fleet = {};
    for (auto& [id, s] : servers) s.heat = s.part = 0;
    for (const auto& [t, s] : slices) {
      servers[s.home].heat += s.heat;
      first[s.firstHome] += s.heat;
      allHeat += s.heat;
      onTrial += !servers[s.home].proved;
      for (std::size_t c = 0; c < s.rates.size(); ++c) {  // of what is let in: refused classes answer nothing
        const double let = std::min(s.sentLevels[c], fleetSent[c]) * s.rates[c];
        requests[s.home] += let;
        aims[s.home] += let * works[c];
      }
    }
    for (auto& [id, s] : servers) {
      weights += s.ready() ? weight(s) : 0;
      allWeight += s.usable() ? weight(s) : 0;
      newcomers += s.ready() && !s.proved;
      left += s.leftAt > 0 && now - s.leftAt < kLeftSpan;
      const double answers = s.sum(now, kHealthMemory, ways);
      fleet.attempts += s.tally.attempts;
      fleet.failures += s.tally.failures;
      if (answers >= kFewAnswers) s.latencies.add(now, s.latency, kLowestSpan);
      const double aim =
          aims[id] > 0 ? aims[id] / requests[id] : *std::max_element(works.begin(), works.end());
      s.pressure = s.latency / (aim * kSecond);  // without own slices heard from those of peers
    }
    peers = cfg.slices > 0 && !slices.empty() ? static_cast<double>(cfg.slices) / slices.size() : 1;
    allHeat *= peers;
    std::vector<std::pair<Micros, Server*>> alike;
    for (auto& [id, s] : servers) {
      s.cohort = 0;
      if (!s.ready() || s.failing) continue;
      alike.emplace_back(s.changedAt > 0 ? std::max(s.changedAt, settledBy()) : 0, &s);
      const double lacked = allHeat * weight(s) / weights - first[id];
      s.part = s.changedAt > 0 ? weight(s) * ramp(s) : std::max(1e-9, lacked);
    }
    std::stable_sort(alike.begin(), alike.end(), [](auto& a, auto& b) { return a.first < b.first; });
    cohorts.assign(1, 0);
    for (auto from = alike.begin(), to = from; from != alike.end(); from = to) {
      double all = 0;  // stays so where one that starts with no capacity is alone
      cohorts.push_back(0);
      for (; to != alike.end() && to->first - from->first < kCohortSpan; ++to) {
        to->second->cohort = cohorts.size() - 1;
        cohorts.back() += to->second->heat;
        all += to->second->part;
      }
      for (auto it = from; it != to && all > 0; ++it) it->second->part *= (peers - 1) / all;
    }
    for (const auto& [id, s] : servers) ramped += s.usable() || mayTry(s) ? weight(s) * ramp(s) : 0;
    mean = ramped > 0 ? allHeat / ramped : 0;
  }

  // Guards against whatever makes a listed server useless: quick errors, refused or silent connections, where
  // most others do well. A slow server that refuses is overloaded, not broken: moves would only pass that on.
  void judgeHealth() {
    for (auto& [id, s] : servers) {
      if (s.failing && now >= s.failingUntil) {
        s.failing = false;
        s.seen.clear();
        s.tally = {};
        s.changedAt = now;
        log("try " + id + " again");
      }
      if (cfg.healthChecksAllowed && !s.proved && s.ready() && now >= s.probeAt) {
        out.push_back(HealthCheck{id});
        s.probeAt = now + std::max(kProbeFirst, now - s.seenAt);
      }
      const AttemptCounts own = s.tally;
      s.leftAt = s.ready() ? 0 : s.leftAt > 0 ? s.leftAt : now;
      // A list may be wrong: what it drops stays, as far as nothing binds, until its answers stop as well.
      s.believed =
          cfg.removalIsAdvisory && own.attempts > 0 && own.failureShare() < 1 - kStillAnswers && !s.failing;
      if (!s.ready() || s.failing || own.attempts < kFewTries || own.failureShare() < kBadShare) continue;
      const AttemptCounts others{fleet.attempts - own.attempts, fleet.failures - own.failures};
      if (own.failureShare() < kWorseThanFleet * others.failureShare()) continue;
      if (own.failureShare() < 1 - kStillAnswers && s.pressure > kRelaxed) continue;
      s.failing = true;
      s.failingHold = std::max(kFailingHold, 2 * s.failingHold);
      s.failingUntil = now + s.failingHold;
      log(id + " fails: " + std::to_string(std::lround(100 * own.failureShare())) + " of 100 tries");
    }
  }

  // ---- Placement and evacuation ----

  // The coolest by projected heat; near ties are broken by the seed, so that supervisors choose differently.
  template <class Allowed>
  ServerId coolest(const Slice& slice, Allowed allowed) {
    std::vector<std::pair<double, const ServerId*>> loads;
    const double borne = std::max(kOverloaded, typical);
    for (const auto& [id, s] : servers) {
      // In a rolling deploy those not yet replaced are likely to be next: a slice put there moves twice.
      const double lasting = now < rollingUntil && s.changedAt == 0 ? kNextToGo : 1;
      // Guards against a drowning server, whatever drowns it: the little that it still holds looks cool.
      const double pressed = std::max(1.0, s.pressure / borne);
      if (id != slice.home && allowed(s)) loads.emplace_back(lasting * pressed * load(s, slice.heat), &id);
    }
    if (loads.empty()) return {};
    const double most = std::min_element(loads.begin(), loads.end())->first * kNearlyCoolest;
    std::vector<const ServerId*> near;
    for (const auto& [l, id] : loads) {
      if (l <= most) near.push_back(id);
    }
    return *near[rng.next() % near.size()];
  }

  void move(TableId table, const ServerId& to, const std::string& reason) {
    Slice& s = slices[table];
    log("slice " + std::to_string(table) + " to " + to + " from " + s.home + ": " + reason);
    const double w = s.want.count(s.home) > 0 ? s.want[s.home] : 1;
    s.want.erase(s.home);
    servers[s.home].heat -= s.heat;
    cohorts[servers[s.home].cohort] -= s.heat;
    s.want[to] = w;
    Server& target = servers[to];
    target.heat += s.heat;
    cohorts[target.cohort] += s.heat;
    onTrial += !target.proved;
    s.home = to;
    s.movedAt = now;
  }

  // Why a slice must leave its home now, or nothing. An old list may not know a new server yet.
  const char* whyLeave(const Slice& s) const {
    const auto it = servers.find(s.home);
    if (s.home.empty()) return "unhomed";
    if (it != servers.end() && it->second.entry.state == EndpointState::Draining) return "draining";
    if (it == servers.end() || !it->second.ready()) return listFresh ? "gone" : nullptr;
    if (it->second.failing || it->second.withdrawn) return it->second.failing ? "failing" : "withdrawn";
    return isCold(it->second) && s.movedAt < it->second.entry.startedAt ? "restarted" : nullptr;
  }

  // Design item 2: unhomed slices, then those on servers that are draining, gone, failing or just restarted,
  // the hottest first, each to the coolest server as the moves before it leave things.
  void evacuate() {
    typical = typicalPressure();
    std::vector<std::tuple<bool, double, TableId>> order;
    for (const auto& [t, s] : slices) {
      if (whyLeave(s) != nullptr) order.emplace_back(!s.home.empty(), -s.heat, t);
    }
    std::sort(order.begin(), order.end());
    for (const auto& entry : order) {
      Slice& s = slices[std::get<2>(entry)];
      ServerId to = coolest(s, [&](const Server& v) { return takes(v) && withstands(v, s.heat); });
      if (to.empty()) to = coolest(s, [&](const Server& v) { return takes(v); });
      if (to.empty()) to = coolest(s, [&](const Server& v) { return v.ready(); });
      if (to.empty()) continue;
      move(std::get<2>(entry), to, whyLeave(s));
      s.leftHome = true;
    }
  }

  // Guards against listed servers that are none: one that has not answered counts for nothing. It is probed,
  // or tried: with few slices where more are new than have left.
  bool mayTry(const Server& s) const {
    const double most = newcomers > left ? kTrialShare * static_cast<double>(slices.size()) : 1e9;
    return !cfg.healthChecksAllowed && !s.proved && s.ready() && !s.failing && onTrial < most;
  }
  bool takes(const Server& s) const { return (s.usable() || mayTry(s)) && !s.startedWithin(now, kTargetAge); }
  // Departure: the design leaves a returned server idle until another is hot. One that changed and stands
  // under the mean takes slices, one at a time, from the most loaded, as far as its ramp carries them.
  void refill() {
    if (heardFrom == 0 || now - heardFrom < kSettledStart) return;  // started itself: knows no loads yet
    using Mark = std::tuple<double, double, const ServerId*>;
    std::vector<Mark> takers, donors;
    for (auto& [id, s] : servers) {
      const double l = load(s);
      if (s.usable() && s.heat > 0 && l * (strained ? 1 : kRefillBelow) > mean)
        donors.emplace_back(-l, rng.uniform(), &id);
      if (s.changedAt <= settledBy() || !takes(s)) continue;
      if (now - s.gaveAt < kRefillEvery || l >= kRefillBelow * mean || s.pressure > kRelaxed) continue;
      takers.emplace_back(l, rng.uniform(), &id);
    }
    std::sort(takers.begin(), takers.end());  // the emptiest first, else all supervisors begin with the same
    std::sort(donors.begin(), donors.end());
    std::map<ServerId, double> least = coolestSlices(slices);
    double any = 1e18;
    for (const auto& [minus, tie, id] : donors) any = std::min(any, least[*id]);
    for (const auto& [l, tie, id] : takers) {
      Server& r = servers[*id];
      if (load(r, any) > mean) continue;
      for (const auto& [minus, mark, from] : donors) {
        Server& d = servers[*from];
        if (now < d.nextMoveAt || load(d) <= mean || load(r, least[*from]) > mean) continue;
        const auto fits = [&](const Slice& t) { return load(r, t.heat) <= mean && withstands(r, t.heat); };
        if (!shed(*from, "refill", [&, id = id](const Slice& t) { return fits(t) ? *id : ""; })) continue;
        r.gaveAt = now;
        d.nextMoveAt = now + kRefillEvery;
        break;
      }
    }
  }

  // Departure: each slice keeps a standby line of very small weight, so that a proxy has where to go when the
  // home is down, refuses or is out of reach: in another zone, the standbys of one home spread over many.
  void standBy() {
    if (cfg.hasSingleOwnerSlices()) return;
    std::vector<std::pair<const ServerId*, int>> open;  // who may back, and its zone
    std::map<ServerId, std::size_t> place;
    for (const auto& [id, v] : servers) {
      if (!v.usable() || isCold(v)) continue;
      place[id] = open.size();
      open.emplace_back(&id, v.entry.zone);
    }
    std::map<ServerId, std::vector<int>> backs;  // by home, how many of its slices each one backs
    std::vector<TableId> lacking;
    for (auto& [t, s] : slices) {
      if (s.home.empty()) continue;
      std::vector<int>& used = backs[s.home];
      used.resize(open.size());
      bool has = false;
      for (auto line = s.want.begin(); line != s.want.end();) {
        const bool keep = line->first == s.home || (!listFresh && !servers[line->first].listed);
        const auto backup = keep ? place.end() : place.find(line->first);
        if (backup != place.end()) {
          ++used[backup->second];
          line->second = std::min(line->second, s.want[s.home] * kStandbyShare);
          has = true;
        }
        line = keep || backup != place.end() ? std::next(line) : s.want.erase(line);
      }
      if (!has) lacking.push_back(t);
    }
    for (TableId t : lacking) {
      Slice& s = slices[t];
      std::vector<int>& used = backs[s.home];
      const int zone = servers[s.home].entry.zone;
      std::tuple<int, bool, double> best{1 << 30, true, 0};
      std::size_t standby = open.size();
      for (std::size_t k = 0; k < open.size(); ++k) {
        if (*open[k].first == s.home) continue;
        const std::tuple<int, bool, double> mark{used[k], open[k].second == zone, rng.uniform()};
        if (mark < best) best = mark, standby = k;
      }
      if (standby == open.size()) continue;
      s.want[*open[standby].first] = s.want[s.home] * kStandbyShare;
      ++used[standby];
    }
  }

  // ---- The hot rule ----

  double typicalPressure() const {
    std::vector<double> all;
    for (const auto& [id, s] : servers) all.insert(all.end(), s.usable() ? 1 : 0, s.pressure);
    return median(all);
  }

  // Departure: a server pressed at fair heat while most are not is weaker than listed; it counts for less
  // until it is at ease for long. Could harm where a short trouble makes many look weak in turn.
  void judgeStrength() {
    if (strained || typicalPressure() > kRelaxed) return;
    for (auto& [id, s] : servers) {
      if (!s.usable() || isCold(s) || now < std::max(s.strengthAt, s.movedAt) + settle()) continue;
      const double before = s.strength;
      if (s.pressure > kOverloaded && load(s) > kFairLoad * mean) s.strength *= kWeaker;
      if (s.pressure < kRelaxed) s.strength += kStronger;
      s.strength = std::clamp(s.strength, kStrengthLeast, 1.0);
      if (s.strength != before) s.strengthAt = now;
    }
  }

  // Design item 3: hot after some reports running that pass both tests, heard since the last move off it.
  // Departure: one that was pressed whenever it was heard has no low of its own; the fleet's stands for it.
  void judgeHot() {
    const double typical = typicalPressure();
    for (auto& [id, s] : servers) {
      if (s.reportedAt <= s.hotJudgedAt || now - s.hotJudgedAt < cfg.reportInterval) continue;
      s.hotJudgedAt = now;
      const double low = s.latencies.minimum();
      const bool slow = (low > 0 && s.latency > kHotLatency * low) ||
                        (typical > 0 && s.pressure > std::max(kRelaxed, kHotLatency * typical));
      const bool heavy = allWeight > 0 && heatOn(s) > allHeat * weight(s) / allWeight;
      s.hotRuns = slow && heavy && now >= s.movedAt + settle() ? s.hotRuns + 1 : 0;
    }
  }

  // Design items 5 and 6: from half the heat of the hottest up, then down, then the hottest, then cold ones.
  std::vector<TableId> byHalfOfHottest(const ServerId& id) const {
    std::vector<std::tuple<int, double, TableId>> order;
    double hottest = 0;
    for (const auto& [t, s] : slices) {
      if (s.home != id) continue;
      order.emplace_back(0, s.heat, t);
      hottest = std::max(hottest, s.heat);
    }
    for (auto& [rank, h, t] : order) {
      rank = h <= 0 ? 3 : h >= hottest ? 2 : h >= hottest / 2 ? 0 : 1;
      h = rank == 0 ? h : -h;
    }
    std::sort(order.begin(), order.end());
    std::vector<TableId> tables;
    for (const auto& entry : order) tables.push_back(std::get<2>(entry));
    return tables;
  }

  // One slice leaves a server, in that order, where a target is found.
  template <class Target>
  bool shed(const ServerId& from, const char* why, Target target) {
    for (const TableId t : byHalfOfHottest(from)) {
      const ServerId to = target(slices[t]);
      if (to.empty()) continue;
      move(t, to, why);
      return true;
    }
    return false;
  }

  // Design items 4 and 7 to 9: a hot server loses one slice to a cool one under the mean, then waits.
  void coolHot() {
    std::size_t open = 0, hot = 0;
    for (const auto& [id, s] : servers) {
      open += s.usable();
      hot += s.usable() && s.hotRuns >= kHotReports;
    }
    if (hot == open || strained) return;
    typical = typicalPressure();
    for (auto& [id, s] : servers) {
      if (!s.usable() || s.hotRuns < kHotReports || now < s.nextMoveAt) continue;
      const bool left = shed(id, "hot", [&](const Slice& t) {
        return coolest(t, [&](const Server& c) {
          return c.usable() && c.hotRuns < kHotReports && load(c) < mean && withstands(c, t.heat) &&
                 !c.startedWithin(now, kSettledStart) && t.heat <= allHeat * weight(c) / allWeight;
        });
      });
      if (!left) continue;
      s.hotRuns = 0;
      s.movedAt = now;
      s.nextMoveAt = now + static_cast<Micros>(kPeriod * (1 + 2 * rng.uniform()));
    }
  }

  // ---- Admission and retries ----

  // Each server's allowance, heat per unit of listed weight, is learned: a pressed server's is set a step
  // under what it now gets, and raised in growing steps while it is relaxed until it binds no more. While
  // pressure is high a passing cut lets the queue drain. A cold one is held to what warm ones bear, by its
  // ramp.
  void admit() {
    std::size_t open = 0, bound = 0;
    double taken = 0, offered = 0, weights = 0;
    AttemptCounts warm;
    for (auto& [id, s] : servers) {
      if (!s.usable() || isCold(s)) continue;
      const double density = heatOn(s) / listedWeight(s);
      const double bad = s.tally.failureShare();
      const double free = s.allowance > 0 ? std::min(s.allowance, density) : density;
      if (now - s.allowedAt > settle()) {
        if (s.pressure > kOverloaded || (bad > kRefusing && s.pressure > kRelaxed)) {
          if (s.rises > 0 || s.allowance == 0)
            s.pressedAt = free * (strained || s.pressure > 1 ? std::max(kAnsweredLeast, 1 - bad) : 1);
          if (free * (1 - kStep) >= kDeepest * s.pressedAt || now - s.allowedAt > 3 * settle()) {
            s.allowance = std::min(free, s.pressedAt) * (1 - kStep);
            s.allowedAt = now;
          }
          s.rises = 0;
        } else if (s.pressure < kRelaxed && bad < kRefusing / 2 && s.allowance > 0) {
          ++s.rises;  // a server far below the relaxed mark was not pressed near here: the mark moves up
          s.pressedAt = std::max(s.pressedAt, s.allowance * kRelaxed / std::max(s.pressure, kRelaxed / 2));
          const double near = std::max(s.allowance * (1 + kSlowStep * s.rises), kNearPressed * s.pressedAt);
          s.allowance = std::min(s.allowance * (1 + kStep * s.rises), near);
          if (s.allowance > density) s.allowance = 0;
          s.allowedAt = now;
        }
      }
      ++open;
      bound += s.allowance > 0;
      warm.attempts += s.tally.attempts;
      warm.failures += s.tally.failures;
      taken += s.admitted * heatOn(s);
      offered += heatOn(s);
      weights += listedWeight(s);
    }
    const double most = usual * (1 + kUsualRise * static_cast<double>(now - usualAt) / kSecond);
    if (weights > 0) usual = strained && usual > 0 ? std::min(taken / weights, most) : taken / weights;
    usualAt = now;
    letIn = offered > 0 ? taken / offered : 1;
    strained = 3 * bound > open || warm.failureShare() > kStrainedBadShare;
    for (auto& [id, s] : servers) {
      const double density = heatOn(s) / (listedWeight(s) * ramp(s));
      const double haste = std::clamp(1 - kHaste * (s.pressure - kOverloaded), kHasteLeast, 1.0);
      const double allowed = isCold(s) ? usual : haste * s.allowance;
      if (strained && isCold(s) && density > allowed) s.allowance = s.pressedAt = usual;  // for when warm
      s.admitted = allowed > 0 && density > allowed ? std::max(kAdmitLeast, allowed / density) : 1;
      // Nor does a cold server let in a larger share than the warm ones then do.
      if (strained && isCold(s)) s.admitted = std::min(s.admitted, letIn);
    }
    setLevels();
  }

  // What is not let in is taken from the classes of least worth per work first, in steps.
  std::vector<double> levelsFor(double admitted) const {
    double cut = 0;
    for (const double d : demand) cut += (1 - admitted) * d;
    std::vector<double> levels(demand.size(), 1);
    for (const std::size_t c : byWorth) {
      const double take = std::min(cut, (1 - kClassLeast) * demand[c]);
      if (take > 0) levels[c] = std::round((1 - take / demand[c]) / kLevelGrain) * kLevelGrain;
      cut -= take;
    }
    return levels;
  }

  // Departure: a level for each slice costs a line. Where more are needed than a message holds, one for all
  // is their mean, and slices have one of their own where it is far lower.
  void setLevels() {
    double exceptions = 0;
    std::vector<double> mean(demand.size(), 0);
    for (auto& [id, s] : servers) s.levels = levelsFor(s.admitted);
    for (const auto& [t, s] : slices) {
      for (std::size_t c = 0; c < demand.size(); ++c) {
        const double level = servers[s.home].levels[c];
        exceptions += level < 1;
        if (demand[c] > 0) mean[c] += level * s.rates[c] * works[c] / demand[c];
      }
    }
    const double held = cfg.pendingRoutesMax * kQueueShare[Level] / receivers() - head();
    const bool oneForAll = exceptions > held && cfg.admissionUnit == AdmissionUnit::Ratio;
    for (std::size_t c = 0; c < demand.size(); ++c) {
      const double level = oneForAll ? std::round(mean[c] / kLevelGrain) * kLevelGrain : 1;
      if (level >= 1 || std::abs(level - fleetLevels[c]) >= kLevelStep) fleetLevels[c] = level;
      for (auto& [t, s] : slices) {
        const double now = std::min(s.sentLevels[c], fleetLevels[c]);
        const double level = std::min(servers[s.home].levels[c], fleetLevels[c]);
        const double step = oneForAll && !isCold(servers[s.home]) ? kCoarseStep : kLevelStep;
        const bool same = std::abs(level - now) < step && (level < fleetLevels[c] || now == level);
        s.levels[c] = same ? s.sentLevels[c] : level < fleetLevels[c] ? level : 1;
      }
    }
  }

  // A further try never goes beyond what cannot take effect twice. After any failure it also repeats what
  // timed out: under strain, or where the time-out lies beyond the aim, that only adds to the load.
  RetryPolicy secondTry(const RequestClass& c) const {
    const bool any =
        c.idempotency == Idempotency::Idempotent && cfg.attemptTimeoutObjectives < 1 && !strained;
    return any ? RetryPolicy::AnyFailure : RetryPolicy::IfNotExecuted;
  }

  // ---- Pacing ----

  void log(const std::string& line) { out.push_back(Log{line}); }

  // Proxies that a message may go to: with slices all of the fleet may be there before their news are.
  double receivers() const {
    return std::max({1.0, channel.proxyCount(), cfg.slices > 0 ? static_cast<double>(cfg.proxies) : 0.0});
  }
  // Guards against a channel slower than stated: what proxies have not confirmed counts as waiting.
  double linesQueued() const { return channel.routesInFlight(now, cfg.routesPerSecond / kSlowChannel); }

  // What a message to each proxy may hold now; levels for all and the mark ride along.
  double head() const { return cfg.messageOverheadRoutes + static_cast<double>(cfg.classes.size()) + 1; }
  double room(Urgency urgency) const {
    const double lines = cfg.pendingRoutesMax * kQueueShare[urgency] - linesQueued();
    return lines / receivers() - head();
  }

  // What must go waits for room for all or a good part of a message, after a missed one for any: that tells.
  bool mayWrite(Urgency first, double wanted) {
    const double most = kMessageShare[first] * cfg.messagesPerProxyMax;
    if (channel.messagesWithin(now, cfg.messageWindow) >= most && cfg.messagesPerProxyMax > 0) return false;
    const double whole = cfg.pendingRoutesMax * kQueueShare[first] / receivers();
    if (linesQueued() > 0 && room(first) < std::min(wanted, missed ? 1 : kGatherShare * whole)) return false;
    return first <= Evacuation || now - routineAt >= kRoutineEvery;
  }

  // The changed lines of a slice that may have one owner only: the old owner's line goes first, and the new
  // owner's waits until every proxy has confirmed (or has lost its lease) and the writes in hand are done.
  std::vector<Action> handOver(TableId t, Slice& s) {
    if (!cfg.hasSingleOwnerSlices() || s.sent == s.want) return {};
    if (s.sent.empty() || (!s.want.empty() && s.sent.begin()->first == s.want.begin()->first))
      return now >= s.freeAt && s.unsettled.empty() ? s.changedLines(t) : std::vector<Action>{};
    return {SetRoute{t, s.sent.begin()->first, 0}};
  }

  bool leaving(const Server& s) const { return s.failing || (listFresh && !s.ready()); }
  bool open(const ServerId& id) const { return !servers.at(id).shut() && !leaving(servers.at(id)); }

  // Departure: what leaves is withdrawn from all tables by one order, once its slices have another line or
  // the grace runs out; its lines are tidied away later and before it is let in again.
  std::vector<Action> withdrawals() const {
    const Uses uses = usesOf(slices, [&](const ServerId& id) { return open(id); });
    const Micros way = cfg.pushDelayMax + static_cast<Micros>(linesQueued() / cfg.routesPerSecond * kSecond);
    std::vector<Action> orders;
    for (const auto& [id, s] : servers) {
      const bool held = cfg.slices > 0 ? uses.held.count(id) > 0 : allWeight > 0;
      const bool leave = held && leaving(s) && !cfg.hasSingleOwnerSlices();
      const bool due = !s.ready() && now + way + kGraceMargin > s.leftAt + cfg.drainGrace;
      const bool stay = cfg.slices > 0 ? uses.stale.count(id) > 0 : s.startedWithin(now, kSettledStart);
      const bool wanted = s.withdrawn ? leave || stay : leave && (due || uses.needed.count(id) == 0);
      const bool changes = wanted != s.withdrawn;
      if (changes || s.repeat)
        orders.insert(changes ? orders.begin() : orders.end(),
                      SetEjection{id, wanted ? EjectionState::Ejected : EjectionState::Readmitted});
    }
    return orders;
  }

  // A slice's changed lines: to its home and off open servers, first of all where a proxy has nowhere to go;
  // standbys, and lines to what is withdrawn, come later.
  void addLines(TableId t, const Slice& s, std::vector<Piece>& pieces) const {
    Piece home{Move, -s.heat, t, {}}, rest{Standby, -s.heat, t, {}};
    bool bare = true, left = s.leftHome;
    for (const auto& [id, w] : s.sent) {
      bare = bare && (w == kInDoubt || servers.at(id).shut() || !servers.at(id).ready());
      left = left || (s.want.count(id) == 0 && leaving(servers.at(id)));
    }
    for (const Action& a : s.changedLines(t)) {
      const auto& line = std::get<SetRoute>(a);
      const Server& v = servers.at(line.server);
      if (line.weight == 0 && leaving(v) && !v.withdrawn) continue;
      const bool first = line.weight > 0 ? line.server == s.home : open(line.server);
      (first ? home : rest).orders.push_back(a);
      if (line.weight > 0 || first || rest.urgency == Evacuation) continue;
      rest.urgency = v.ready() && !v.failing ? Evacuation : Move;  // one that is back waits for this
    }
    if (bare || left) home.urgency = bare ? Must : Evacuation;
    if (!home.orders.empty()) pieces.push_back(std::move(home));
    if (!rest.orders.empty()) pieces.push_back(std::move(rest));
  }

  // Guards against a full channel, whatever fills it: each message is filled from one order of urgency, the
  // hottest slices first, as far as there is room; what is left waits, and a later decision replaces it.
  void flush() {
    held = awaiting;
    if (channel.proxyCount() == 0 || awaiting) return;
    std::vector<Piece> pieces;
    for (auto& [t, s] : slices) {
      if (!cfg.hasSingleOwnerSlices() && s.sent != s.want) addLines(t, s, pieces);
      if (std::vector<Action> lines = handOver(t, s); !lines.empty())
        pieces.push_back({Must, -s.heat, t, std::move(lines)});
      std::vector<Action> levels;
      bool lower = false;
      for (std::size_t c = 0; c < s.levels.size() && cfg.admissionUnit == AdmissionUnit::Ratio; ++c) {
        if (s.levelStands(c)) continue;
        levels.push_back(SetAdmission{t, 1u << c, s.levels[c], secondTry(cfg.classes[c])});
        lower = lower || (s.levels[c] < 1 && s.levels[c] <= s.sentLevels[c]);  // the same: it is in doubt
      }
      const Urgency urgency = lower && isCold(servers[s.home]) ? Evacuation : Level;
      if (!levels.empty()) pieces.push_back({urgency, -s.heat, t, std::move(levels)});
    }
    if (!rulesSent || strained != strainedSent || fleetLevels != fleetSent) {
      pieces.push_back({missed ? Evacuation : Level, -allHeat, kAllTables, {}});
      for (std::size_t c = 0; c < cfg.classes.size(); ++c)
        pieces.back().orders.push_back(
            SetAdmission{kAllTables, 1u << c, fleetLevels[c], secondTry(cfg.classes[c])});
    }
    const double pulls = static_cast<double>(withdrawals().size());
    if (pieces.empty() && pulls == 0) return;
    std::sort(pieces.begin(), pieces.end());
    const Urgency first = pulls > 0 ? Must : pieces.front().urgency;
    double wanted = pulls;
    for (const Piece& p : pieces) wanted += p.urgency == first ? static_cast<double>(p.orders.size()) : 0;
    if (!mayWrite(first, wanted)) return;
    std::vector<Action> orders;
    const auto put = [&](Urgency urgency, const std::vector<Action>& more) {
      const double lines = static_cast<double>(orders.size() + more.size());
      if (lines > room(urgency) && (!orders.empty() || linesQueued() > 0)) return false;
      for (const Action& order : more) note(order);
      orders.insert(orders.end(), more.begin(), more.end());
      return true;
    };
    double levels = 0;  // that change all the time: they may not starve what is less urgent
    for (const Piece& p : pieces) {
      levels += p.urgency == Level ? static_cast<double>(p.orders.size()) : 0;
      if (p.urgency == Level && levels > kLevelShare * room(Level) && levels > demand.size()) continue;
      if (!put(p.urgency, p.orders)) break;
    }
    for (const Action& order : withdrawals()) put(Must, {order});
    if (orders.empty()) return;
    dropReplaced(orders);
    const double lines = head() + static_cast<double>(orders.size());
    orders.push_back(
        AcknowledgementRequest{channel.send(now, lines, receivers(), cfg.routesPerSecond / kSlowChannel),
                               cfg.hasSingleOwnerSlices()});
    routineAt = now;
    missed = false;
    out.insert(out.end(), orders.begin(), orders.end());
    if (!cfg.deliveryReported) return;
    awaiting = true;
    channel.awaitDelivery();
    inHand = std::move(orders);
  }

  void note(const Action& order) {
    if (const auto* pull = std::get_if<SetEjection>(&order)) servers[pull->server].apply(*pull);
    if (const auto* line = std::get_if<SetRoute>(&order)) {
      Slice& s = slices[line->table];
      s.apply(*line);
      if (!cfg.hasSingleOwnerSlices() || line->weight > 0) return;
      s.unsettled = channel.proxies();
      s.clearedBy = channel.nextUpdateId();
    }
    const auto* admit = std::get_if<SetAdmission>(&order);
    if (admit == nullptr) return;
    if (admit->table != kAllTables) return slices[admit->table].apply(*admit);
    rulesSent = true;
    strainedSent = strained;
    fleetSent = fleetLevels;
  }

  // ---- Events ----

  // A server that starts is empty of keys and cold, whatever its slices say: its former life is forgotten.
  void on(const EndpointListUpdate& news) {
    if (news.kind == EndpointListKind::Failed) {
      subscribed = false;
      askBackoff = std::min(2 * askBackoff, std::max(kAskFirst, cfg.pollDeadline / 4));
      // Guards against what is harmless in one and harmful in all: callers that were refused together would
      // come again together.
      askAgainAt = now + static_cast<Micros>(static_cast<double>(askBackoff) * (0.5 + 0.5 * rng.uniform()));
      return;
    }
    if (news.kind == EndpointListKind::Full) {
      for (auto& [id, s] : servers) s.listed = false;
    }
    for (const Endpoint& e : news.endpoints) {
      Server& s = servers[e.server];
      const bool old = news.kind == EndpointListKind::Cached;
      if (!old && e.startedAt > s.entry.startedAt && e.state == EndpointState::Ready) s.restart(now);
      s.take(e, now, cfg.removalIsAdvisory);
      s.proved = s.proved || old;
      if (old && s.startedWithin(now, kLeftSpan)) s.changedAt = e.startedAt;  // no table may name it yet
      if (e.state == EndpointState::Draining) rollingUntil = now + kRollingSpan;
    }
    if (news.kind == EndpointListKind::Cached) return;
    listFresh = true;
    askBackoff = kAskFirst;
  }

  void on(const ProxyConnected& e) {
    channel.connect(e.proxy, now - kNewsLag);
    rulesSent = false;  // standing orders ride on later messages only
    joined = true;
    expectNothing(e.proxy);
  }

  void on(const ProxyDisconnected& e) {
    channel.disconnect(e.proxy, now - kNewsLag);
    expectNothing(e.proxy);
  }

  // A proxy whose stream is a new one or gone confirms nothing that went before.
  void expectNothing(ProxyId proxy) {
    for (auto& [t, s] : slices) {
      if (!cfg.hasSingleOwnerSlices()) break;
      if (s.unsettled.erase(proxy) > 0) s.freeAt = std::max(s.freeAt, now + cfg.lease + cfg.inFlightWriteMax);
    }
  }

  void on(const UpdateDelivery& e) {
    if (!awaiting || e.updateId != channel.lastUpdateId()) return;
    awaiting = false;
    again = held || e.outcome != DeliveryOutcome::Accepted;
    channel.recordDelivery(now, e.messages, head(), receivers());
    missed = e.outcome != DeliveryOutcome::Accepted;
    for (const Action& order : inHand) doubt(order);
    inHand.clear();
  }

  // What may not have been carried out is ordered anew with all else, by its urgency and as far as there is
  // room: as a whole it might find none for long. A slice given since has the table that the store tells.
  void doubt(const Action& order) {
    if (!missed) return;
    if (const auto* pull = std::get_if<SetEjection>(&order)) servers[pull->server].repeat = true;
    rulesSent = rulesSent && (!std::holds_alternative<SetAdmission>(order) || tableOf(order) != kAllTables);
    const auto it = slices.find(tableOf(order));
    if (it != slices.end() && it->second.givenAt <= routineAt) it->second.doubt(order);
  }

  void on(const UpdateAcknowledged& e) {
    if (!channel.acknowledge(e.proxy, e.updateId)) return;
    for (auto& [t, s] : slices) {
      if (!cfg.hasSingleOwnerSlices()) break;
      if (e.updateId >= s.clearedBy && s.unsettled.erase(e.proxy) > 0)
        s.freeAt = std::max(s.freeAt, now + cfg.inFlightWriteMax);
    }
  }

  void on(const ServerLoadReport& r) {
    const auto it = servers.find(r.server);  // what is of its former life, or too near it, does not count
    if (it == servers.end() || it->second.startedWithin(now, kReportsLag + r.window)) return;
    Server& s = it->second;
    s.reportedAt = now;
    s.proved = s.seen[r.zone].add(now, r, kHealthMemory) || s.proved;
  }

  void on(const SliceLoadReport& d) {
    const auto it = slices.find(d.slice);
    if (it == slices.end() || d.requestClass < 0 || d.requestClass >= static_cast<int>(cfg.classes.size()))
      return;
    if (heardFrom == 0) heardFrom = now - d.window;
    it->second.demand[d.requestClass].add(now, static_cast<double>(d.requests), kDemandMemory);
  }

  void on(const SliceAssignment& e) {
    slices.erase(e.slice);
    if (e.assigned) slices.emplace(e.slice, Slice(now, cfg.classes.size()));
  }

  void on(const StoredRoute& e) {
    const auto it = slices.find(e.slice);
    if (it == slices.end() || e.weight <= 0) return;
    Slice& s = it->second;
    servers[e.server].proved = true;
    s.sent[e.server] = s.want[e.server] = e.weight;
    const double held = s.home.empty() ? 0 : s.want[s.home];
    if (e.weight > held || (e.weight == held && !servers[s.home].ready())) s.home = s.firstHome = e.server;
  }

  void on(const HealthCheckResult& r) {
    const auto it = servers.find(r.server);
    if (it == servers.end() || it->second.proved || r.outcome != HealthCheckOutcome::Passed) return;
    it->second.proved = true;
    it->second.changedAt = now;
  }

  template <class Other>
  void on(const Other&) {}  // nothing is decided by notes and the demand of single proxies

  void decide() {
    if (cfg.endpointsOnRequest && !subscribed && now >= askAgainAt) {
      out.push_back(WatchEndpoints{true});
      subscribed = true;
    }
    for (auto& [id, s] : servers) s.repeat = s.repeat || (joined && s.withdrawn);
    joined = again = false;
    // Where changes are pushed an old list that nothing changed by now holds; else it is asked for anew.
    listFresh = listFresh || (!cfg.endpointsOnRequest && now - bornAt > kOldListHolds);
    // Guards against records that grow with the day where servers are replaced by others.
    forgetLeft(servers, usesOf(slices, [](const ServerId&) { return true; }), now - 2 * kLeftSpan);
    reckon();
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

DecisionEngine::DecisionEngine(std::uint64_t seed, const Settings& settings)
    : state_(std::make_unique<State>(seed, settings)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

std::vector<Action> DecisionEngine::handle(Micros now, const std::vector<Event>& events) {
  State& st = *state_;
  bool due = false, sweep = st.bornAt == 0;
  if (sweep) st.bornAt = now;
  st.now = now;
  st.out.clear();
  for (const Event& event : events) {
    std::visit([&](const auto& e) { st.on(e); }, event);
    sweep = sweep || std::holds_alternative<TimerFired>(event);
    due = due || std::holds_alternative<EndpointListUpdate>(event) ||
          std::holds_alternative<SliceAssignment>(event);
  }
  if (sweep) st.out.push_back(SetTimer{kSweepEvery, "sweep"});
  if (due || sweep || st.again) st.decide();
  return std::move(st.out);
}

}  // namespace peargrade
