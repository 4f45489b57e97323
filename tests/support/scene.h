// A supervisor in a test: keeps the tables that were ordered and feeds reports at the pace of the settings.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

inline Settings plainSettings() {
  Settings s;
  RequestClass low, high, once;
  low.latencyObjective = 800 * kMs;
  low.deadline = 2500 * kMs;
  low.priorityWeight = 1;
  low.idempotency = Idempotency::Idempotent;
  high = low;
  high.latencyObjective = 1600 * kMs;
  high.priorityWeight = 6;
  once = high;
  once.idempotency = Idempotency::NonIdempotent;
  once.isWrite = true;
  s.classes = {low, high, once};
  s.slices = 24;
  s.attemptTimeoutObjectives = 0.8;
  s.routesPerSecond = 30000;
  s.messageOverheadRoutes = 8;
  s.pendingRoutesMax = 30000;
  s.messagesPerProxyMax = 20;
  s.messageWindow = 10 * kSecond;
  s.pushDelay = 300 * kMs;
  s.pushDelayMax = 800 * kMs;
  s.reportInterval = 500 * kMs;
  s.unroutableMax = 5 * kSecond;
  s.drainGrace = 2 * kSecond;
  s.pollDeadline = 10 * kSecond;
  s.initialCapacity = 0.15;
  s.slowStartWindow = 16 * kSecond;
  s.overloadFactor = 2.5;
  s.overloadDurationMax = 2 * kSecond;
  return s;
}

class Scene {
 public:
  explicit Scene(const Settings& s = plainSettings(), int servers = 4, std::uint64_t seed = 1)
      : settings(s), engine(seed, s) {
    for (int i = 0; i < servers; ++i) {
      Endpoint e;
      e.server = name(i);
      e.zone = i % 2;
      list[e.server] = e;
    }
  }

  static std::string name(int i) {
    return i < 20 ? std::string("s_") + static_cast<char>('a' + i) : "s_" + std::to_string(i);
  }

  std::vector<Event> startEvents(int slices) {
    std::vector<Event> ev{news(EndpointListKind::Cached), news(EndpointListKind::Full)};
    for (int p = 0; p < 3; ++p) ev.push_back(ProxyConnected{p, p % 2, 5, true});
    for (int t = 0; t < slices; ++t) {
      const std::string home = name(t % static_cast<int>(list.size()));
      ev.push_back(SliceAssignment{t, true});
      ev.push_back(StoredRoute{t, home, 1});
      tables[t] = {{home, 1}};
    }
    return ev;
  }
  void start(int slices) { feed(startEvents(slices)); }

  // The supervisor dies and comes back with an old list and the store's tables.
  void restartWith(const EndpointListUpdate& old) {
    engine = DecisionEngine(2, settings);
    std::vector<Event> ev{old};
    for (int p = 0; p < 3; ++p) ev.push_back(ProxyConnected{p, p % 2, 5, false});
    for (int t : std::set<TableId>(charge)) {
      ev.push_back(SliceAssignment{t, true});
      for (const auto& [server, w] : tables[t]) ev.push_back(StoredRoute{t, server, w});
      for (const auto& [server, w] : shut[t]) ev.push_back(StoredRoute{t, server, w});
    }
    levels.clear();
    feed(ev);
  }

  EndpointListUpdate news(EndpointListKind mode) const {
    EndpointListUpdate n;
    n.kind = mode;
    for (const auto& [id, e] : list) n.endpoints.push_back(e);
    return n;
  }
  // One entry of the list changes and the supervisor is told.
  std::vector<Action> tell(const std::string& server, EndpointState state, Micros startedAt = 0) {
    Endpoint e = list.count(server) > 0 ? list[server] : Endpoint{};
    e.server = server;
    e.state = state;
    if (startedAt > 0) e.startedAt = startedAt;
    if (state == EndpointState::Removed)
      list.erase(server);
    else
      list[server] = e;
    EndpointListUpdate n;
    n.kind = EndpointListKind::Delta;
    n.endpoints = {e};
    return feed({n});
  }

  std::vector<Action> feed(const std::vector<Event>& events) {
    for (const Event& e : events) {
      if (const auto* c = std::get_if<SliceAssignment>(&e)) {
        if (c->assigned)
          charge.insert(c->slice);
        else
          charge.erase(c->slice);
      }
    }
    const std::vector<Action> out = engine.handle(now, events);
    bool wrote = false;
    for (const Action& a : out) {
      if (const auto* line = std::get_if<SetRoute>(&a)) {
        wrote = true;
        ++linesSent;
        if (charge.count(line->table) == 0) strayOrders.insert(line->table);
        auto& lines = (withdrawn.count(line->server) > 0 ? shut : tables)[line->table];
        if (line->weight > 0)
          lines[line->server] = line->weight;
        else
          lines.erase(line->server);
      }
      if (const auto* pull = std::get_if<SetEjection>(&a)) {
        wrote = true;
        withdraw(pull->server, pull->state == EjectionState::Ejected);
        pulls += pull->state == EjectionState::Ejected;
      }
      if (const auto* probe = std::get_if<HealthCheck>(&a)) {
        ++probes[probe->server];
        const bool there = list.count(probe->server) > 0 && ghosts.count(probe->server) == 0;
        answers.push_back(HealthCheckResult{
            probe->server, there ? HealthCheckOutcome::Passed : HealthCheckOutcome::Unreachable, kMs});
      }
      if (const auto* admit = std::get_if<SetAdmission>(&a)) {
        wrote = true;
        for (int c = 0; c < 3; ++c) {
          if ((admit->classMask & (1u << c)) == 0) continue;
          levels[{admit->table, c}] = admit->ratio;
          tries[{admit->table, c}] = admit->retryPolicy;
        }
      }
      if (const auto* mark = std::get_if<AcknowledgementRequest>(&a)) {
        for (int p = 0; p < 3 && confirming; ++p)
          answers.push_back(UpdateAcknowledged{p, mark->updateId, kMs});
      }
      if (const auto* log = std::get_if<Log>(&a)) logs.push_back(log->text);
      if (std::get_if<WatchEndpoints>(&a) != nullptr) watchedAt.push_back(now);
    }
    if (wrote) messagesAt.push_back(now);
    return out;
  }

  std::string home(int t) const {
    std::string best;
    double w = 0;
    for (const auto& [server, weight] : tables.at(t)) {
      if (weight > w) best = server, w = weight;
    }
    return best;
  }
  int homesAt(const std::string& server) const {
    int n = 0;
    for (const auto& [t, lines] : tables) n += home(t) == server;
    return n;
  }
  int count(const std::string& word) const {
    int n = 0;
    for (const std::string& l : logs) n += l.find(word) != std::string::npos;
    return n;
  }

  // A withdrawn server's lines stay in the tables, yet proxies do not pick them.
  void withdraw(const std::string& server, bool out) {
    if (out)
      withdrawn.insert(server);
    else
      withdrawn.erase(server);
    for (const TableId t : std::set<TableId>(charge)) {
      auto& from = out ? tables[t] : shut[t];
      auto& to = out ? shut[t] : tables[t];
      if (from.count(server) == 0) continue;
      to[server] = from[server];
      from.erase(server);
    }
  }

  // Lets time pass: every report period each slice is asked for as `rates` say and each server answers as
  // `latency` and `badShare` say, by zone of the proxies.
  void run(Micros span) {
    for (const Micros end = now + span; now < end;) {
      now += 250 * kMs;
      std::vector<Event> ev{TimerFired{"sweep"}};
      ev.insert(ev.end(), answers.begin(), answers.end());
      answers.clear();
      if (reporting && (now / (250 * kMs)) % 2 == 0) report(ev);
      feed(ev);
    }
  }
  void report(std::vector<Event>& ev) {
    std::map<std::string, double> sent;
    for (const auto& [t, lines] : tables) {
      for (int c = 0; c < 3; ++c) {
        const double rate = rates.count({t, c}) > 0 ? rates[{t, c}] : c == 0 ? 10 : 0;
        const double level = levels.count({t, c}) > 0 ? levels[{t, c}] : 1;
        const auto n = static_cast<std::int64_t>(rate * settings.reportInterval / kSecond);
        if (n > 0) ev.push_back(SliceLoadReport{t, c, n, 0, settings.reportInterval});
        sent[home(t)] += static_cast<double>(n) * level;
      }
    }
    for (const auto& [server, n] : sent) {
      for (int zone = 0; zone < 2; ++zone) {
        const auto mine = static_cast<std::int64_t>(n / 2 + 0.5);
        if (mine == 0) continue;
        const double share = badShare.count({server, zone}) > 0 ? badShare[{server, zone}] : 0;
        Micros took = latency.count(server) > 0 ? latency[server] : 100 * kMs;
        if (slowFrom.count({server, zone}) > 0) took += slowFrom[{server, zone}];
        const auto failed = static_cast<std::int64_t>(static_cast<double>(mine) * share + 0.5);
        ev.push_back(
            ServerLoadReport{zone, server, mine, failed, failed < mine ? took : 0, settings.reportInterval});
      }
    }
  }
  void bad(const std::string& server, double share) { badShare[{server, 0}] = badShare[{server, 1}] = share; }

  Settings settings;
  DecisionEngine engine;
  Micros now = 1000 * kSecond;
  std::map<std::string, Endpoint> list;
  std::map<TableId, std::map<std::string, double>> tables, shut;  // shut: lines to withdrawn servers
  std::set<std::string> withdrawn, ghosts;                        // ghosts are listed and answer nothing
  std::map<std::string, int> probes;
  std::vector<Event> answers;  // to probes and marks, for the next step
  bool confirming = true;
  std::map<std::pair<TableId, int>, double> levels, rates;
  std::map<std::pair<TableId, int>, RetryPolicy> tries;
  std::map<std::string, Micros> latency;
  std::map<std::pair<std::string, int>, double> badShare;
  std::map<std::pair<std::string, int>, Micros> slowFrom;  // what the way from a zone adds
  std::vector<std::string> logs;
  std::vector<Micros> messagesAt, watchedAt;
  int linesSent = 0, pulls = 0;
  std::set<TableId> charge, strayOrders;
  bool reporting = true;
  EndpointListUpdate oldList;
};

}  // namespace peargrade
