#include "recorded_stream.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "support/decision_settings.h"

namespace peargrade::test {
namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr TableId kUnknownTable = 9999;

// FNV-1a over 64-bit words.
class Hash {
 public:
  void fold(std::uint64_t word) { value_ = (value_ ^ word) * 0x100000001b3ULL; }
  void fold(double number) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &number, sizeof bits);
    fold(bits);
  }
  void fold(const std::string& text) {
    for (const unsigned char c : text) fold(static_cast<std::uint64_t>(c));
    fold(static_cast<std::uint64_t>(text.size()));
  }
  template <class Integer>
  void foldInteger(Integer number) {
    fold(static_cast<std::uint64_t>(static_cast<std::int64_t>(number)));
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

void foldFields(Hash& hash, const SetTimer& action) {
  hash.foldInteger(action.delay);
  hash.fold(action.token);
}
void foldFields(Hash& hash, const WatchEndpoints& action) { hash.foldInteger(action.enabled); }
void foldFields(Hash& /*hash*/, const PollEndpoints& /*action*/) {}
void foldFields(Hash& hash, const HealthCheck& action) { hash.fold(action.server); }
void foldFields(Hash& hash, const SendGossip& action) { hash.fold(action.payload); }
void foldFields(Hash& hash, const SetRoute& action) {
  hash.foldInteger(action.table);
  hash.fold(action.server);
  hash.fold(action.weight);
}
void foldFields(Hash& hash, const ClearTable& action) { hash.foldInteger(action.table); }
void foldFields(Hash& hash, const SetEjection& action) {
  hash.fold(action.server);
  hash.foldInteger(action.state == EjectionState::Ejected);
}
void foldFields(Hash& hash, const SetAdmission& action) {
  hash.foldInteger(action.table);
  hash.foldInteger(action.classMask);
  hash.fold(action.ratio);
  hash.foldInteger(static_cast<int>(action.retryPolicy));
}
void foldFields(Hash& hash, const AcknowledgementRequest& action) {
  hash.foldInteger(action.updateId);
  hash.foldInteger(action.everyProxy);
}
void foldFields(Hash& /*hash*/, const Log& /*action*/) {}

void foldAction(Hash& hash, Micros at, const Action& action) {
  hash.foldInteger(at);
  hash.foldInteger(action.index());
  std::visit([&](const auto& fields) { foldFields(hash, fields); }, action);
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed * 0x9e3779b97f4a7c15ULL + 1) {}
  std::uint64_t next() {
    state_ ^= state_ << 13;
    state_ ^= state_ >> 7;
    state_ ^= state_ << 17;
    return state_ * 0x2545f4914f6cdd1dULL;
  }
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  double between(double low, double high) { return low + (high - low) * uniform(); }
  Micros delay(Micros low, Micros high) {
    return low + static_cast<Micros>(uniform() * static_cast<double>(high - low));
  }
  int below(int limit) { return static_cast<int>(next() % static_cast<std::uint64_t>(limit)); }
  bool chance(double probability) { return uniform() < probability; }

 private:
  std::uint64_t state_;
};

struct SimulatedServer {
  Endpoint entry;
  bool running = true;     // answers at all
  double speed = 1;        // of a usual server
  double errorShare = 0;   // of attempts, beside those of overload
  bool withdrawn = false;  // by the module's action
};

struct SimulatedSlice {
  std::map<ServerId, double> routes;
  std::vector<double> rates;   // requests a second, by class
  std::vector<double> levels;  // admitted, by class
};

// A fleet that follows the module's actions and tells it, late, what came of them.
class SimulatedFleet {
 public:
  SimulatedFleet(const Deployment& deployment, std::uint64_t seed)
      : deployment_(deployment),
        settings_(deployment.settings),
        random_(seed),
        engine_(seed, deployment.settings),
        fleetLevels_(settings_.classes.size(), 1) {
    for (int k = 0; k < deployment_.servers; ++k) addServer(k % deployment_.zones, 0);
  }

  std::uint64_t play(Micros span) {
    begin();
    const Micros end = kStart + span;
    scheduleRoutine(end);
    while (!queue_.empty() && queue_.begin()->first < end) step();
    return hash_.value();
  }

 private:
  using Task = void (SimulatedFleet::*)();

  // What waits for its time: events for the module, and changes of the fleet.
  struct Pending {
    std::vector<Event> events;
    Task task = nullptr;
  };

  void schedule(Micros at, Event event) { queue_[at].events.push_back(std::move(event)); }
  void scheduleTask(Micros at, Task task) {
    while (queue_.count(at) > 0 && queue_[at].task != nullptr) ++at;
    queue_[at].task = task;
  }

  void step() {
    const auto first = queue_.begin();
    now_ = first->first;
    Pending pending = std::move(first->second);
    queue_.erase(first);
    if (pending.task != nullptr) (this->*pending.task)();
    pending.events.insert(pending.events.end(), outbox_.begin(), outbox_.end());
    outbox_.clear();
    if (!pending.events.empty()) feed(pending.events);
  }

  void feed(const std::vector<Event>& events) {
    const std::vector<Action> actions = engine_.handle(now_, events);
    bool written = false;
    for (const Action& action : actions) {
      foldAction(hash_, now_, action);
      written = apply(action) || written;
    }
    if (written) ++updates_;
  }

  // ---- The module's actions ----

  bool apply(const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action))
      schedule(now_ + timer->delay + random_.delay(0, 13 * kMillisecond), TimerFired{timer->token});
    if (const auto* probe = std::get_if<HealthCheck>(&action)) answerProbe(probe->server);
    if (const auto* watch = std::get_if<WatchEndpoints>(&action)) answerWatch(watch->enabled);
    if (const auto* line = std::get_if<SetRoute>(&action)) return applyRoute(*line);
    if (const auto* pull = std::get_if<SetEjection>(&action)) {
      servers_[pull->server].withdrawn = pull->state == EjectionState::Ejected;
      return true;
    }
    if (const auto* admit = std::get_if<SetAdmission>(&action)) return applyAdmission(*admit);
    if (const auto* mark = std::get_if<AcknowledgementRequest>(&action)) deliver(mark->updateId);
    return false;
  }

  bool applyRoute(const SetRoute& line) {
    std::map<ServerId, double>& routes = slices_[line.table].routes;
    if (line.weight > 0)
      routes[line.server] = line.weight;
    else
      routes.erase(line.server);
    return true;
  }

  bool applyAdmission(const SetAdmission& admit) {
    for (std::size_t c = 0; c < fleetLevels_.size(); ++c) {
      if ((admit.classMask & (1U << c)) == 0) continue;
      const auto slice = slices_.find(admit.table);
      if (admit.table == kAllTables) fleetLevels_[c] = admit.ratio;
      if (slice != slices_.end()) slice->second.levels[c] = admit.ratio;
    }
    return true;
  }

  void answerProbe(const ServerId& server) {
    const SimulatedServer& target = servers_[server];
    HealthCheckResult result;
    result.server = server;
    result.outcome = target.running ? HealthCheckOutcome::Passed : HealthCheckOutcome::Unreachable;
    result.duration =
        random_.delay(kMillisecond, random_.chance(0.5) ? 1500 * kMillisecond : 40 * kMillisecond);
    schedule(now_ + result.duration, result);
  }

  void answerWatch(bool on) {
    if (!on) return;
    EndpointListUpdate news = wholeList();
    if (random_.chance(0.4)) news = EndpointListUpdate{EndpointListKind::Failed, 0, {}};
    schedule(now_ + random_.delay(20 * kMillisecond, 400 * kMillisecond), std::move(news));
  }

  // What becomes of an update: it is accepted, is lost or is accepted in several messages; proxies
  // acknowledge it later.
  void deliver(int mark) {
    const Micros accepted =
        now_ + random_.delay(5 * kMillisecond, slowChannel_ ? 3 * kSecond : 150 * kMillisecond);
    const bool taken = !random_.chance(lossy_ ? 0.3 : 0.02);
    const int messages = taken ? 1 + (random_.chance(0.05) ? 1 : 0) : random_.below(2);
    if (settings_.deliveryReported)
      schedule(accepted, UpdateDelivery{mark, taken ? DeliveryOutcome::Accepted : DeliveryOutcome::Incomplete,
                                        messages});
    if (random_.chance(0.03)) schedule(accepted, UpdateDelivery{mark + 7, DeliveryOutcome::Accepted, 1});
    if (!taken) return;
    for (const auto& [proxy, zone] : proxies_) {
      if (random_.chance(lossy_ ? 0.2 : 0.01)) continue;
      const Micros took = random_.delay(settings_.pushDelay / 2, settings_.pushDelayMax);
      schedule(accepted + took, UpdateAcknowledged{proxy, mark, took});
    }
    if (random_.chance(0.05)) schedule(accepted, UpdateAcknowledged{60000, mark, 1});
  }

  // ---- Loads ----

  void report() {
    std::map<ServerId, std::vector<double>> offered;
    for (auto& [table, slice] : slices_) {
      if (settings_.slices > 0 && assigned_.count(table) == 0) continue;
      reportSlice(table, slice, offered);
    }
    if (settings_.slices == 0) reportProxies(offered);
    if (deployment_.erraticReports)
      reportErratically();
    else
      for (auto& [id, rates] : offered) reportServer(id, rates);
    if (random_.chance(0.05))
      outbox_.emplace_back(
          ServerLoadReport{0, "unknown", 50, 10, 90 * kMillisecond, settings_.reportInterval});
    if (random_.chance(0.05)) outbox_.emplace_back(SliceLoadReport{0, 99, 50, 10, settings_.reportInterval});
    scheduleTask(now_ + settings_.reportInterval, &SimulatedFleet::report);
  }

  void reportSlice(TableId table, const SimulatedSlice& slice,
                   std::map<ServerId, std::vector<double>>& offered) {
    double weights = 0;
    for (const auto& [server, weight] : slice.routes) weights += servers_[server].withdrawn ? 0 : weight;
    for (std::size_t c = 0; c < slice.rates.size(); ++c) {
      const double rate = slice.rates[c] * demandFactor_ * random_.between(0.9, 1.1);
      const auto requests = count(rate);
      if (requests > 0)
        outbox_.emplace_back(
            SliceLoadReport{table, static_cast<int>(c), requests, 0, settings_.reportInterval});
      for (const auto& [server, weight] : slice.routes) {
        if (servers_[server].withdrawn || weights <= 0) continue;
        std::vector<double>& rates = offered[server];
        rates.resize(slice.rates.size());
        rates[c] += rate * std::min(slice.levels[c], fleetLevels_[c]) * weight / weights;
      }
    }
  }

  void reportProxies(std::map<ServerId, std::vector<double>>& offered) {
    for (const auto& [proxy, zone] : proxies_) {
      outbox_.emplace_back(ProxyLoadReport{proxy, 0, count(20 * demandFactor_), 0, settings_.reportInterval});
    }
    for (auto& [id, server] : servers_) {
      if (server.withdrawn) continue;
      offered[id].assign(settings_.classes.size(), 30 * demandFactor_);
    }
  }

  // Latency grows with the load of a server, errors come beyond its capacity.
  void reportServer(const ServerId& id, const std::vector<double>& rates) {
    const SimulatedServer& server = servers_[id];
    double work = 0;
    double requests = 0;
    for (std::size_t c = 0; c < rates.size(); ++c) {
      work += rates[c] * static_cast<double>(settings_.classes[c].latencyObjective) /
              static_cast<double>(kSecond);
      requests += rates[c];
    }
    const double capacity = capacityOf(server);
    const double utilization = capacity > 0 ? work / capacity : 10;
    for (int zone = 0; zone < deployment_.zones; ++zone) {
      const bool remote = server.entry.zone != zone;
      const bool cut = cutZone_ == zone && remote;
      const double pathLoss = slowZone_ == zone && remote ? pathLoss_ : 0.0;
      const double overload = utilization > 1.2 ? 1 - 1.2 / utilization : 0;
      const double errors =
          !server.running || cut ? 1 : std::min(1.0, server.errorShare + overload + pathLoss);
      const std::int64_t attempts = count(requests / deployment_.zones);
      if (attempts == 0) continue;
      const auto failed = static_cast<std::int64_t>(errors * static_cast<double>(attempts) + 0.5);
      const double queueing = 0.08 + 0.25 * std::min(4.0, utilization * utilization);
      const double way = slowZone_ == zone && remote ? pathDelay_ : 0.0;
      const double seconds = (queueing / server.speed + way) * random_.between(0.92, 1.08);
      const Micros latency =
          failed < attempts ? static_cast<Micros>(seconds * static_cast<double>(kSecond)) : 0;
      outbox_.emplace_back(ServerLoadReport{zone, id, attempts, failed, latency, settings_.reportInterval});
    }
  }

  // Reports that no model explains: few attempts, latencies and failures that wander over all thresholds.
  void reportErratically() {
    for (auto& [id, server] : servers_) {
      if (!server.running || listed_.count(id) == 0) continue;
      if (random_.chance(0.15)) server.speed = random_.between(0.05, 1.2);
      if (random_.chance(0.1)) server.errorShare = random_.chance(0.6) ? 0 : random_.between(0, 1);
      for (int zone = 0; zone < deployment_.zones; ++zone) {
        const bool remote = zone == slowZone_ && server.entry.zone != zone;
        const std::int64_t attempts = random_.chance(0.35) ? random_.below(7) : 0;
        if (attempts == 0) continue;
        const double errors = std::min(1.0, server.errorShare + (remote ? pathLoss_ : 0.0));
        const auto failed =
            static_cast<std::int64_t>(errors * static_cast<double>(attempts) + random_.uniform());
        const double latency = random_.between(0.2, 3) * (0.05 / server.speed + (remote ? pathDelay_ : 0.0));
        const auto mean = static_cast<Micros>(latency * static_cast<double>(kSecond));
        outbox_.emplace_back(ServerLoadReport{zone, id, attempts, std::min(failed, attempts),
                                              failed < attempts ? mean : 0, settings_.reportInterval});
      }
    }
  }

  double capacityOf(const SimulatedServer& server) const {
    const Micros age = now_ - server.entry.startedAt;
    const bool cold = server.entry.startedAt > 0 && age < settings_.slowStartWindow;
    const double warm = cold ? settings_.initialCapacity + (1 - settings_.initialCapacity) *
                                                               static_cast<double>(age) /
                                                               static_cast<double>(settings_.slowStartWindow)
                             : 1;
    return 90 * server.speed * warm * (settings_.endpointsHaveWeights ? server.entry.weight : 1);
  }

  std::int64_t count(double rate) const {
    return static_cast<std::int64_t>(
        rate * static_cast<double>(settings_.reportInterval) / static_cast<double>(kSecond) + 0.5);
  }

  // ---- The list ----

  ServerId addServer(int zone, Micros startedAt) {
    SimulatedServer server;
    server.entry.server = "server-" + std::to_string(nextServer_++);
    server.entry.zone = zone;
    server.entry.startedAt = startedAt;
    server.entry.weight = settings_.endpointsHaveWeights ? 1 + random_.below(3) : 1;
    server.speed = random_.between(0.9, 1.1);
    const ServerId id = server.entry.server;
    servers_[id] = server;
    listed_.insert(id);
    return id;
  }

  EndpointListUpdate wholeList() const {
    EndpointListUpdate news{EndpointListKind::Full, ++version_, {}};
    for (const ServerId& id : listed_) news.endpoints.push_back(servers_.at(id).entry);
    return news;
  }

  void announce(const ServerId& id) {
    EndpointListUpdate news{EndpointListKind::Delta, ++version_, {servers_[id].entry}};
    schedule(now_ + random_.delay(10 * kMillisecond, 700 * kMillisecond), std::move(news));
  }

  ServerId anyListed() {
    auto it = listed_.begin();
    std::advance(it, random_.below(static_cast<int>(listed_.size())));
    return *it;
  }

  // ---- The start ----

  void begin() {
    now_ = kStart;
    EndpointListUpdate cached = wholeList();
    cached.kind = EndpointListKind::Cached;
    if (cached.endpoints.size() > 4) cached.endpoints.pop_back();
    std::vector<Event> events{cached};
    for (int k = 0; k < deployment_.proxies; ++k) connect(k, events);
    for (int table = 0; table < deployment_.ownedSlices; ++table) {
      SimulatedSlice& slice = slices_[table];
      shape(slice, table);
      const auto home = static_cast<std::size_t>(table) % listed_.size();
      slice.routes = {{*std::next(listed_.begin(), static_cast<std::ptrdiff_t>(home)), 1.0}};
      assign(table, events);
    }
    feed(events);
    schedule(now_ + deployment_.firstList, wholeList());
    scheduleTask(now_ + kMillisecond, &SimulatedFleet::chatter);
  }

  void shape(SimulatedSlice& slice, TableId table) {
    const std::size_t classes = settings_.classes.size();
    slice.levels.assign(classes, 1);
    slice.rates.assign(classes, 0);
    for (std::size_t c = 0; c < classes; ++c) {
      const double skew = table % 7 == 0 ? 3.0 : 1.0;
      slice.rates[c] = deployment_.traffic * random_.between(4, 16) * skew / static_cast<double>(c + 1);
    }
  }

  void assign(TableId table, std::vector<Event>& events) {
    assigned_.insert(table);
    events.emplace_back(SliceAssignment{table, true});
    for (const auto& [server, weight] : slices_[table].routes)
      events.emplace_back(StoredRoute{table, server, weight});
  }

  void connect(ProxyId proxy, std::vector<Event>& events) {
    const int zone = proxy % deployment_.zones;
    events.emplace_back(ProxyConnected{proxy, zone, 5, proxies_.count(proxy) == 0});
    proxies_[proxy] = zone;
  }

  // Events about a slice of nobody here: they change nothing but the times at which the module decides.
  void chatter() {
    outbox_.emplace_back(SliceAssignment{kUnknownTable, false});
    const bool starting = now_ - kStart < kSecond;
    scheduleTask(now_ + random_.delay(2 * kMillisecond, (starting ? 6 : 350) * kMillisecond),
                 &SimulatedFleet::chatter);
  }

  // ---- What happens to the fleet ----

  void scheduleRoutine(Micros end) {
    scheduleTask(kStart + settings_.reportInterval, &SimulatedFleet::report);
    const std::vector<Task> incidents{
        &SimulatedFleet::rollOne,    &SimulatedFleet::rollOne,      &SimulatedFleet::rollMany,
        &SimulatedFleet::crashOne,   &SimulatedFleet::slowOne,      &SimulatedFleet::failOne,
        &SimulatedFleet::failMostly, &SimulatedFleet::growSilently, &SimulatedFleet::pathSlow,
        &SimulatedFleet::burst,      &SimulatedFleet::burst,        &SimulatedFleet::killMost,
        &SimulatedFleet::reannounce, &SimulatedFleet::loseSlices,   &SimulatedFleet::pathSlow,
        &SimulatedFleet::cutOff,     &SimulatedFleet::spoil,        &SimulatedFleet::wrongList,
        &SimulatedFleet::fullList,   &SimulatedFleet::configure,    &SimulatedFleet::hotSlice,
        &SimulatedFleet::failList,   &SimulatedFleet::loseZone};
    std::size_t next = static_cast<std::size_t>(random_.below(static_cast<int>(incidents.size())));
    for (Micros at = kStart + 15 * kSecond; at < end; at += random_.delay(5 * kSecond, 28 * kSecond)) {
      scheduleTask(at, incidents[next]);
      next = (next + 1 + static_cast<std::size_t>(random_.below(3))) % incidents.size();
    }
  }

  void replaceOne(Micros drainFor) {
    if (listed_.size() < 6) return;
    const ServerId id = anyListed();
    if (servers_[id].entry.state != EndpointState::Ready) return;
    servers_[id].entry.state = EndpointState::Draining;
    announce(id);
    leaving_.insert({now_ + drainFor, id});
    scheduleTask(now_ + drainFor, &SimulatedFleet::finishDrains);
  }

  // New servers are listed that answer nothing for a while, as others leave.
  void growSilently() {
    for (int k = 0; k < 6; ++k) {
      const ServerId id = addServer(k % deployment_.zones, now_);
      servers_[id].running = false;
      announce(id);
      healing_.insert({now_ + random_.delay(4 * kSecond, 20 * kSecond), id});
    }
    scheduleTask(healing_.rbegin()->first, &SimulatedFleet::heal);
    replaceOne(kSecond);
    replaceOne(2 * kSecond);
  }

  void finishDrains() {
    while (!leaving_.empty() && leaving_.begin()->first <= now_) {
      const ServerId id = leaving_.begin()->second;
      leaving_.erase(leaving_.begin());
      const int zone = servers_[id].entry.zone;
      servers_[id].running = false;
      servers_[id].entry.state = EndpointState::Removed;
      announce(id);
      listed_.erase(id);
      if (random_.chance(0.4)) {
        restart(id);
      } else {
        announce(addServer(zone, now_ + random_.delay(0, 400 * kMillisecond)));
      }
    }
  }

  void restart(const ServerId& id) {
    SimulatedServer& server = servers_[id];
    server.running = true;
    server.errorShare = 0;
    server.entry.state = EndpointState::Ready;
    server.entry.startedAt = now_ + kMillisecond;
    listed_.insert(id);
    announce(id);
  }

  void rollOne() { replaceOne(random_.delay(1 * kSecond, 4 * kSecond)); }
  void rollMany() {
    for (int k = 0; k < deployment_.servers / 3; ++k) replaceOne(random_.delay(1 * kSecond, 9 * kSecond));
  }

  void crashOne() {
    const ServerId id = anyListed();
    if (servers_[id].entry.state != EndpointState::Ready) return;
    servers_[id].running = false;
    healing_.insert({now_ + random_.delay(3 * kSecond, 25 * kSecond), id});
    scheduleTask(healing_.rbegin()->first, &SimulatedFleet::heal);
  }

  void heal() {
    while (!healing_.empty() && healing_.begin()->first <= now_) {
      const ServerId id = healing_.begin()->second;
      healing_.erase(healing_.begin());
      if (listed_.count(id) == 0) continue;
      if (!servers_[id].running) restart(id);
      servers_[id].errorShare = 0;
      servers_[id].speed = 1;
    }
  }

  void change(double speed, double errors) {
    const ServerId id = anyListed();
    servers_[id].speed = speed;
    servers_[id].errorShare = errors;
    healing_.insert({now_ + random_.delay(10 * kSecond, 60 * kSecond), id});
    scheduleTask(healing_.rbegin()->first, &SimulatedFleet::heal);
  }
  void slowOne() { change(random_.between(0.2, 0.5), 0); }
  void failOne() { change(1, random_.between(0.35, 1)); }
  void failMostly() { change(1, random_.between(0.7, 0.9)); }

  void burst() {
    demandFactor_ = random_.between(1.5, 3.2);
    scheduleTask(now_ + random_.delay(10 * kSecond, 40 * kSecond), &SimulatedFleet::endBurst);
  }
  void endBurst() { demandFactor_ = random_.between(0.7, 1.2); }

  void hotSlice() {
    if (slices_.empty()) return;
    auto it = slices_.begin();
    std::advance(it, random_.below(static_cast<int>(slices_.size())));
    for (double& rate : it->second.rates) rate *= random_.between(0.3, 4);
    for (double& rate : it->second.rates) rate = std::clamp(rate, 0.0, 60.0);
  }

  void killMost() {
    for (const auto& [proxy, zone] : std::map<ProxyId, int>(proxies_)) {
      if (!random_.chance(0.7)) continue;
      proxies_.erase(proxy);
      schedule(now_ + random_.delay(0, 300 * kMillisecond), ProxyDisconnected{proxy});
      absent_.insert(proxy);
    }
    scheduleTask(now_ + random_.delay(400 * kMillisecond, 4 * kSecond), &SimulatedFleet::rejoin);
  }
  void rejoin() {
    for (const ProxyId proxy : std::exchange(absent_, {})) connect(proxy, outbox_);
  }
  void reannounce() {
    for (const auto& [proxy, zone] : std::map<ProxyId, int>(proxies_)) {
      if (random_.chance(0.5)) connect(proxy, outbox_);
    }
  }

  // Some slices go to another supervisor and come back with the routes that the store has.
  void loseSlices() {
    for (int k = 0; k < 4 && deployment_.ownedSlices > 0; ++k) {
      const TableId table = random_.below(deployment_.ownedSlices);
      if (assigned_.erase(table) > 0) outbox_.emplace_back(SliceAssignment{table, false});
    }
    scheduleTask(now_ + random_.delay(1 * kSecond, 15 * kSecond), &SimulatedFleet::regainSlices);
  }
  void regainSlices() {
    for (TableId table = 0; table < deployment_.ownedSlices; ++table) {
      if (assigned_.count(table) == 0) assign(table, outbox_);
    }
  }

  void pathSlow() {
    slowZone_ = random_.below(deployment_.zones);
    pathDelay_ = random_.between(0.05, 0.7);
    pathLoss_ = random_.chance(0.5) ? random_.between(0.02, 0.2) : 0;
    scheduleTask(now_ + random_.delay(8 * kSecond, 20 * kSecond), &SimulatedFleet::pathHealed);
  }
  void cutOff() {
    cutZone_ = random_.below(deployment_.zones);
    scheduleTask(now_ + random_.delay(4 * kSecond, 10 * kSecond), &SimulatedFleet::pathHealed);
  }
  void pathHealed() { slowZone_ = cutZone_ = -1; }

  void loseZone() {
    const int zone = random_.below(deployment_.zones);
    for (const ServerId& id : std::set<ServerId>(listed_)) {
      if (servers_[id].entry.zone != zone || !servers_[id].running) continue;
      servers_[id].running = false;
      healing_.insert({now_ + 5 * kSecond, id});
    }
    scheduleTask(now_ + 5 * kSecond, &SimulatedFleet::heal);
  }

  void spoil() {
    lossy_ = true;
    slowChannel_ = random_.chance(0.5);
    scheduleTask(now_ + random_.delay(5 * kSecond, 25 * kSecond), &SimulatedFleet::unspoil);
  }
  void unspoil() { lossy_ = slowChannel_ = false; }

  // The list drops servers that run, and takes them in again later.
  void wrongList() {
    EndpointListUpdate news = wholeList();
    news.endpoints.resize(news.endpoints.size() - news.endpoints.size() / 4);
    outbox_.emplace_back(std::move(news));
    scheduleTask(now_ + random_.delay(1 * kSecond, 8 * kSecond), &SimulatedFleet::fullList);
  }
  void fullList() { outbox_.emplace_back(wholeList()); }
  void failList() { outbox_.emplace_back(EndpointListUpdate{EndpointListKind::Failed, 0, {}}); }

  // Changed settings, once with another number of classes, which the module leaves out.
  void configure() {
    Settings changed = settings_;
    if (random_.chance(0.3)) {
      changed.classes.pop_back();
    } else {
      changed.classes[0].latencyObjective = settings_.classes[0].latencyObjective * 11 / 10;
      changed.attemptTimeoutObjectives = random_.between(0.7, 1.3);
      changed.routesPerSecond = settings_.routesPerSecond * random_.between(0.8, 1.3);
      settings_ = changed;
    }
    outbox_.emplace_back(SettingsChanged{changed});
  }

  const Deployment deployment_;
  Settings settings_;
  Random random_;
  DecisionEngine engine_;
  Hash hash_;
  Micros now_ = 0;
  std::map<Micros, Pending> queue_;
  std::vector<Event> outbox_;
  std::map<ServerId, SimulatedServer> servers_;
  std::set<ServerId> listed_;
  std::map<TableId, SimulatedSlice> slices_;
  std::set<TableId> assigned_;
  std::map<ProxyId, int> proxies_;
  std::set<ProxyId> absent_;
  std::set<std::pair<Micros, ServerId>> leaving_;
  std::set<std::pair<Micros, ServerId>> healing_;
  std::vector<double> fleetLevels_;
  double demandFactor_ = 1;
  int slowZone_ = -1;
  double pathDelay_ = 0;  // seconds
  double pathLoss_ = 0;   // share of the attempts
  int cutZone_ = -1;
  bool lossy_ = false;
  bool slowChannel_ = false;
  int nextServer_ = 0;
  int updates_ = 0;
  mutable std::int64_t version_ = 0;
};

RequestClass requestClass(Micros aim, double worth, Idempotency effect) {
  RequestClass requestClass;
  requestClass.latencyObjective = aim;
  requestClass.deadline = 3 * aim;
  requestClass.priorityWeight = worth;
  requestClass.idempotency = effect;
  requestClass.isWrite = effect != Idempotency::Idempotent;
  return requestClass;
}

Settings sharedSlices() {
  Settings settings = deploymentSettings();
  settings.classes = {requestClass(800 * kMillisecond, 1, Idempotency::Idempotent),
                      requestClass(1600 * kMillisecond, 6, Idempotency::WithIdempotencyKey),
                      requestClass(1200 * kMillisecond, 3, Idempotency::NonIdempotent)};
  settings.supervisors = 3;
  settings.slices = 96;
  settings.proxies = 60;
  settings.routesPerSecond = 9000;
  settings.pendingRoutesMax = 6000;
  settings.deliveryReported = true;
  return settings;
}

}  // namespace

std::vector<Deployment> recordedDeployments() {
  std::vector<Deployment> deployments;

  deployments.push_back({"SharedSlices", sharedSlices(), 18, 3, 40, 36});

  Deployment polled{"PolledAdvisoryList", sharedSlices(), 14, 2, 24, 28};
  polled.settings.endpointsOnRequest = true;
  polled.settings.removalIsAdvisory = true;
  polled.settings.endpointsHaveWeights = true;
  polled.settings.routesPerSecond = 700;
  polled.settings.pendingRoutesMax = 2400;
  polled.settings.slices = 28;
  polled.settings.admissionUnit = AdmissionUnit::Ratio;
  deployments.push_back(polled);

  Deployment single{"SingleOwnerSlices", sharedSlices(), 12, 2, 16, 24};
  single.settings.sliceOwnership = SliceOwnership::SingleOwner;
  single.settings.slices = 48;
  single.settings.lease = 3 * kSecond;
  single.settings.inFlightWriteMax = 700 * kMillisecond;
  single.settings.admissionUnit = AdmissionUnit::Unsupported;
  single.settings.pendingRoutesMax = 60000;
  deployments.push_back(single);

  Deployment checked{"HealthChecks", sharedSlices(), 16, 2, 20, 40};
  checked.settings.healthChecksAllowed = true;
  checked.settings.deliveryReported = false;
  checked.settings.slices = 40;
  checked.firstList = 2 * kSecond;
  checked.settings.proxies = 0;
  checked.settings.messagesPerProxyMax = 12;
  checked.settings.pendingRoutesMax = 1e9;
  deployments.push_back(checked);

  Deployment quiet{"LittleTraffic", sharedSlices(), 20, 2, 12, 101};
  quiet.settings.slices = 101;
  quiet.settings.removalIsAdvisory = true;
  quiet.traffic = 0.04;
  quiet.firstList = 3 * kSecond;
  deployments.push_back(quiet);

  Deployment erratic{"ErraticReports", sharedSlices(), 14, 3, 10, 40};
  erratic.settings.slices = 80;
  erratic.erraticReports = true;
  deployments.push_back(erratic);

  Deployment proxies{"ProxyTables", sharedSlices(), 10, 2, 12, 0};
  proxies.settings.slices = 0;
  proxies.settings.attemptTimeoutObjectives = 1.5;
  proxies.settings.deliveryReported = false;
  deployments.push_back(proxies);

  return deployments;
}

std::uint64_t actionHash(const Deployment& deployment, std::uint64_t seed, Micros span) {
  return SimulatedFleet(deployment, seed).play(span);
}

}  // namespace peargrade::test
