// A simulated fleet that generates events for the decision engine and applies its actions. The events depend
// only on the seed and on those actions, so that engines with equal decisions receive equal events.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "action_hash.h"
#include "peargrade/decision_engine.h"
#include "recorded_deployments.h"

namespace peargrade::test {

/// Simulates `span` microseconds of the deployment and returns the hash over all actions of its engine.
std::uint64_t actionHash(const Deployment& deployment, std::uint64_t seed, Micros span);

/// Xorshift generator. Equal seeds give equal numbers on every platform.
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

/// The actual state of one server, which the endpoint list may not reflect.
struct SimulatedServer {
  Endpoint endpoint;
  bool running = true;    // answers requests
  double speed = 1;       // relative to a normal server
  double errorShare = 0;  // share of failed attempts, in addition to those from overload
  bool ejected = false;   // by the engine
};

/// One slice: its published routing table, and the requests that clients send for it.
struct SimulatedSlice {
  std::map<ServerId, double> routes;
  std::vector<double> rates;            // requests a second, by class
  std::vector<double> admissionRatios;  // by class
};

/// Applies the engine's actions and reports their effects with a delay.
class RecordedFleet {
 public:
  RecordedFleet(const Deployment& deployment, std::uint64_t seed);
  std::uint64_t play(Micros span);

 private:
  /// Unix time at which the fleet starts, in microseconds.
  static constexpr Micros kStart = 1000 * Micros{1000000};

  using Task = void (RecordedFleet::*)();

  /// Work that is due at some time: events for the engine, and a change of the fleet.
  struct ScheduledWork {
    std::vector<Event> events;
    Task task = nullptr;
  };
  void schedule(Micros at, Event event);
  void scheduleTask(Micros at, Task task);
  void step();
  void handle(const std::vector<Event>& events);

  // ---- Actions of the engine ----

  void apply(const Action& action);
  void applyRoute(const SetRoute& route);
  void applyAdmission(const SetAdmission& admission);
  void answerHealthCheck(const ServerId& server);
  void answerWatch(bool enabled);
  void deliver(int updateId);

  // ---- Load reports ----

  void report();
  void reportSlice(TableId table, const SimulatedSlice& slice,
                   std::map<ServerId, std::vector<double>>& offered);
  void reportProxies(std::map<ServerId, std::vector<double>>& offered);
  void reportServer(const ServerId& id, const std::vector<double>& rates);
  void reportErratically();
  void reportErratically(const SimulatedServer& server, int zone);
  double capacityOf(const SimulatedServer& server) const;
  std::int64_t count(double rate) const;

  // ---- The endpoint list ----

  ServerId addServer(int zone, Micros startedAt);
  EndpointListUpdate fullListUpdate() const;
  void announce(const ServerId& id);
  ServerId randomListedServer();

  // ---- Start ----

  void start();
  void randomizeRates(SimulatedSlice& slice, TableId table);
  void assign(TableId table, std::vector<Event>& events);
  void connect(ProxyId proxy, std::vector<Event>& events);
  void triggerDecision();

  // ---- Incidents ----

  void scheduleIncidents(Micros end);
  void drainAndReplaceServer(Micros drainFor);
  void addUnresponsiveServers();
  void finishDrains();
  void restart(const ServerId& id);
  void replaceServer();
  void replaceManyServers();
  void crashServer();
  void recover();
  void degradeServer(double speed, double errors);
  void slowServer();
  void failServer();
  void raiseServerErrors();
  void beginBurst();
  void endBurst();
  void changeSliceLoad();
  void disconnectMostProxies();
  void reconnectProxies();
  void reannounceProxies();
  void releaseSlices();
  void reassignSlices();
  void degradePath();
  void cutPath();
  void restorePaths();
  void failZone();
  void beginLossyDelivery();
  void endLossyDelivery();
  void sendTruncatedList();
  void sendFullList();
  void sendFailedList();
  void changeSettings();

  const Deployment deployment_;
  Settings settings_;
  Random random_;
  DecisionEngine engine_;
  Hash hash_;
  Micros now_ = 0;
  std::map<Micros, ScheduledWork> queue_;
  std::vector<Event> pendingEvents_;
  std::map<ServerId, SimulatedServer> servers_;
  std::set<ServerId> listed_;
  std::map<TableId, SimulatedSlice> slices_;
  std::set<TableId> assigned_;
  std::map<ProxyId, int> proxies_;
  std::set<ProxyId> disconnectedProxies_;
  std::set<std::pair<Micros, ServerId>> drains_;
  std::set<std::pair<Micros, ServerId>> recoveries_;
  std::vector<double> fleetRatios_;
  double demandFactor_ = 1;
  int degradedZone_ = -1;
  double pathDelay_ = 0;  // seconds
  double pathLoss_ = 0;   // share of failed attempts
  int cutZone_ = -1;
  bool isLossy_ = false;
  bool isChannelSlow_ = false;
  int nextServer_ = 0;
  mutable std::int64_t listVersion_ = 0;
};

}  // namespace peargrade::test
