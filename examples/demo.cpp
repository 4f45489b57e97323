// A demo fleet on loopback for one supervisor. It simulates discovery, the relay, one collector and three
// servers, and prints changes of the endpoint list, the supervisor's routing updates and the load of each
// server. The scenario: the supervisor publishes its first routes, moves slices away from a slow server, and
// drains a server. Load is only reported; no requests are sent.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include "config/config.h"
#include "fakes/collector.h"
#include "fakes/discovery.h"
#include "fakes/relay.h"

namespace {

constexpr int kServers = 3;
constexpr int kProxies = 3;
constexpr int kSlices = 8;
constexpr int kDrainAtSeconds = 25;
constexpr int kRemoveAtSeconds = 32;
// The server that starts with most of the load is slow after this time, while its load exceeds the threshold.
constexpr int kSlowAfterSeconds = 10;
constexpr int kSlowAboveRequestsPerSecond = 90;
constexpr double kSlowLatencyFactor = 2.2;
constexpr int kPrintIntervalSeconds = 5;
constexpr peargrade::Micros kSecond = 1000000;  // in microseconds

const char* const kNames[kServers] = {"s-red", "s-green", "s-blue"};
// The initial assignment is unbalanced: s-red has half of the slices, the ones with the most heat.
const char* const kFirstPrimary[kSlices] = {"s-red",   "s-red",   "s-red",  "s-red",
                                            "s-green", "s-green", "s-blue", "s-blue"};

class DemoFleet {
 public:
  DemoFleet(event_base* base, const peargrade::config::Config& config)
      : base_(base),
        config_(config),
        discovery_(base, config.discovery.host, config.discovery.port),
        relay_(base, config.relay.host, config.relay.port),
        tick_(base, [this] { tick(); }) {
    for (const char* name : kNames) list(name, "SERVING");
    for (int proxy = 0; proxy < kProxies; ++proxy)
      relay_.proxies[proxy] = {config.names.zones[proxy % config.names.zones.size()], 20, true};
    for (int slice = 0; slice < std::min(kSlices, config.settings.slices); ++slice)
      relay_.slices[slice] = {{kFirstPrimary[slice], "1"}};
    relay_.onOrder = [this](const std::string& command) { onCommand(command); };
    tick_.schedule(0);
  }
  int seconds() const { return seconds_; }

 private:
  std::ostream& print() { return std::cout << std::setw(3) << seconds_ << " s  "; }
  const std::string& zone() const { return config_.names.zones.front(); }

  void list(const std::string& name, const std::string& state) {
    discovery_.set(name, zone(), state);
    print() << "list: " << name << " is " << state << std::endl;
  }

  // Prints the update command. Every proxy acknowledges an update as soon as its last command (`fence`)
  // arrives.
  void onCommand(const std::string& command) {
    const std::string fence = "fence,";
    if (command.compare(0, fence.size(), fence) != 0) {
      print() << "update: " << command << std::endl;
      return;
    }
    for (const auto& [id, proxy] : relay_.proxies)
      relay_.done(id, std::atoi(command.c_str() + fence.size()), 20);
  }

  // Returns the primary server of a slice: that of the route with the largest weight.
  std::string primaryServer(int slice) const {
    std::string primary;
    double largest = 0;
    for (const auto& [host, text] : relay_.slices.at(slice)) {
      const double weight = std::atof(text.c_str());
      if (weight <= largest) continue;
      largest = weight;
      primary = host;
    }
    return primary;
  }

  void tick() {
    tick_.schedule(kSecond);
    ++seconds_;
    if (!collector_ || collector_->ended()) {
      collector_ = std::make_unique<peargrade::fakes::Collector>(base_, config_.listen);
      collector_->send(R"({"type":"telemetry","az":")" + zone() + R"("})");
    }
    if (seconds_ == kDrainAtSeconds) list("s-blue", "DRAINING");
    if (seconds_ == kRemoveAtSeconds) list("s-blue", "DELETED");
    const std::map<std::string, int> load = reportSlices();
    for (const auto& [host, requests] : load) {
      if (!host.empty()) reportServer(host, requests);
    }
    if (seconds_ % kPrintIntervalSeconds == 0) printLoad(load);
  }

  // Sends the load report of each slice. Returns the sum of requests by server.
  std::map<std::string, int> reportSlices() {
    std::map<std::string, int> load;
    for (const auto& [slice, routes] : relay_.slices) {
      const int requests = 40 - 4 * slice;
      load[primaryServer(slice)] += requests;
      collector_->send(R"({"type":"range_stats","partition":)" + std::to_string(slice) + R"(,"kind":")" +
                       config_.names.classes.front() + R"(","n":)" + std::to_string(requests) +
                       R"(,"bad":0,"window":1000.0})");
    }
    return load;
  }

  void reportServer(const std::string& host, int requests) {
    const bool slow =
        host == kNames[0] && seconds_ > kSlowAfterSeconds && requests > kSlowAboveRequestsPerSecond;
    const double latencyMs = (slow ? kSlowLatencyFactor : 1) * (60 + requests);
    collector_->send(R"({"type":"upstream_stats","az":")" + zone() + R"(","host":")" + host + R"(","n":)" +
                     std::to_string(requests) + R"(,"bad":0,"avg":)" + std::to_string(latencyMs) +
                     R"(,"window":1000.0})");
  }

  void printLoad(const std::map<std::string, int>& load) {
    print() << "load:";
    for (const auto& [host, requests] : load)
      std::cout << "  " << (host.empty() ? "(no server)" : host) << " " << requests << "/s";
    std::cout << std::endl;
  }

  event_base* base_;
  const peargrade::config::Config& config_;
  peargrade::fakes::Discovery discovery_;
  peargrade::fakes::Relay relay_;
  std::unique_ptr<peargrade::fakes::Collector> collector_;
  peargrade::net::Timer tick_;
  int seconds_ = 0;
};

void runDemo(const std::string& path, int seconds) {
  const auto config = peargrade::config::load(path, peargrade::config::processEnvironment);
  const auto base = peargrade::net::makeBase();
  DemoFleet fleet(base.get(), config);
  while (fleet.seconds() < seconds) event_base_loop(base.get(), EVLOOP_ONCE);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    CLI::App app(
        "a demo fleet for one peargrade supervisor: discovery, relay, collector and servers on loopback");
    std::string path;
    int seconds = 45;
    app.add_option("-c,--config", path, "configuration file of the supervisor")
        ->envname("NODE_CONFIG")
        ->required();
    app.add_option("--seconds", seconds, "duration of the demo, in seconds")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    runDemo(path, seconds);
  } catch (const std::exception& e) {
    std::cerr << "peargrade_demo: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
