// A toy world on loopback: plays discovery, the relay, one collector and a few servers round one supervisor,
// and says what it sees. A demonstration, no load rig. It shows a list, the first table, a move off a slow
// server and a drain.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iomanip>
#include <iostream>

#include "config/config.h"
#include "fakes/collector.h"
#include "fakes/discovery.h"
#include "fakes/relay.h"

namespace {

class World {
 public:
  World(event_base* base, const peargrade::config::Config& config)
      : base_(base),
        config_(config),
        discovery_(base, config.discovery.host, config.discovery.port),
        relay_(base, config.relay.host, config.relay.port),
        second_(base, [this] { second(); }) {
    for (const char* uid : {"s-red", "s-green", "s-blue"}) list(uid, "SERVING");
    for (int p = 0; p < 3; ++p)
      relay_.proxies[p] = {config.names.zones[p % config.names.zones.size()], 20, true};
    // The first tables are lopsided: red has half of the slices, the hottest of them.
    const char* const homes[] = {"s-red",   "s-red",   "s-red",  "s-red",
                                 "s-green", "s-green", "s-blue", "s-blue"};
    for (int t = 0; t < std::min(8, config.settings.slices); ++t) relay_.slices[t] = {{homes[t], "1"}};
    relay_.onOrder = [this](const std::string& order) { onOrder(order); };
    second_.schedule(0);
  }
  int seconds() const { return now_; }

 private:
  std::ostream& say() { return std::cout << std::setw(3) << now_ << " s  "; }

  void list(const std::string& uid, const std::string& state) {
    discovery_.set(uid, config_.names.zones.front(), state);
    say() << "list: " << uid << " is " << state << std::endl;
  }

  void onOrder(const std::string& order) {
    if (order.compare(0, 6, "fence,") != 0) {
      say() << "order: " << order << std::endl;
      return;
    }
    for (const auto& [id, proxy] : relay_.proxies) relay_.done(id, std::atoi(order.c_str() + 6), 20);
  }

  // The line of most weight among those whose server still runs.
  std::string homeOf(int slice) const {
    std::string home;
    double most = 0;
    for (const auto& [host, weight] : relay_.slices.at(slice)) {
      if (std::atof(weight.c_str()) > most) most = std::atof(weight.c_str()), home = host;
    }
    return home;
  }

  void second() {
    second_.schedule(1000000);
    ++now_;
    if (!collector_ || collector_->ended()) {
      collector_ = std::make_unique<peargrade::fakes::Collector>(base_, config_.listen);
      collector_->send(R"({"type":"telemetry","az":")" + config_.names.zones.front() + R"("})");
    }
    if (now_ == 25) list("s-blue", "DRAINING");
    if (now_ == 32) list("s-blue", "DELETED");
    std::map<std::string, int> load;
    for (const auto& [slice, lines] : relay_.slices) {
      const int n = 40 - 4 * slice;
      load[homeOf(slice)] += n;
      collector_->send(R"({"type":"range_stats","partition":)" + std::to_string(slice) + R"(,"kind":")" +
                       config_.names.classes.front() + R"(","n":)" + std::to_string(n) +
                       R"(,"bad":0,"window":1000.0})");
    }
    for (const auto& [host, n] : load) {
      if (host.empty()) continue;
      // Red grows slow from the tenth second on while it is the fullest.
      const double slow = host == "s-red" && now_ > 10 && n > 90 ? 2.2 : 1;
      collector_->send(R"({"type":"upstream_stats","az":")" + config_.names.zones.front() + R"(","host":")" +
                       host + R"(","n":)" + std::to_string(n) + R"(,"bad":0,"avg":)" +
                       std::to_string(slow * (60 + n)) + R"(,"window":1000.0})");
    }
    if (now_ % 5 != 0) return;
    say() << "load:";
    for (const auto& [host, n] : load)
      std::cout << "  " << (host.empty() ? "nowhere" : host) << " " << n << "/s";
    std::cout << std::endl;
  }

  event_base* base_;
  const peargrade::config::Config& config_;
  peargrade::fakes::Discovery discovery_;
  peargrade::fakes::Relay relay_;
  std::unique_ptr<peargrade::fakes::Collector> collector_;
  peargrade::net::Timer second_;
  int now_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "a toy world round one peargrade supervisor: discovery, relay, collector and servers on loopback");
  std::string path;
  int seconds = 45;
  app.add_option("-c,--config", path, "the configuration that the supervisor is started with")
      ->envname("NODE_CONFIG")
      ->required();
  app.add_option("--seconds", seconds, "end after so many seconds of the story")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto config = peargrade::config::load(path, peargrade::config::processEnvironment);
    const auto base = peargrade::net::makeBase();
    World world(base.get(), config);
    while (world.seconds() < seconds) event_base_loop(base.get(), EVLOOP_ONCE);
  } catch (const std::exception& e) {
    std::cerr << "peargrade_demo: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
