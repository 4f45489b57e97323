// What a turn of the decision module costs at fleet size, and what it holds: a start, calm sweeps with
// reports, a tenth of the servers draining at once, and the same with all servers pressed.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "support/scene.h"

namespace peargrade {
namespace {

struct Cost {
  double worst = 0, sum = 0;
  int turns = 0;
  void of(Scene& s, const std::vector<Event>& events) {
    const auto from = std::chrono::steady_clock::now();
    s.engine.handle(s.now, events);
    const double ms =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from).count();
    worst = std::max(worst, ms);
    sum += ms;
    ++turns;
  }
  void print(const char* what) const {
    std::printf("  %-28s mean %8.2f ms  worst %8.2f ms\n", what, sum / turns, worst);
  }
};

void play(int servers, int proxies, int slices, int held) {
  Settings settings = plainSettings();
  settings.slices = slices;
  settings.proxies = proxies;
  settings.messageOverheadRoutes = 16;
  settings.routesPerSecond = slices * static_cast<double>(proxies) / 6;
  settings.pendingRoutesMax = 1.5 * settings.routesPerSecond;
  Scene s(settings, servers);
  std::printf("%d servers, %d proxies, %d of %d slices\n", servers, proxies, held, slices);
  std::vector<Event> ev = s.startEvents(held);
  for (int p = 3; p < proxies; ++p) ev.push_back(ProxyConnected{p, p % 2, 5, true});
  Cost start, calm, drain, pressed;
  start.of(s, ev);
  const auto run = [&](Cost& cost, Micros span) {
    for (const Micros end = s.now + span; s.now < end;) {
      s.now += 250 * kMs;
      std::vector<Event> turn{TimerFired{"sweep"}};
      if (s.now / (250 * kMs) % 2 == 0) s.report(turn);
      for (int p = 0; p < proxies; ++p) turn.push_back(UpdateAcknowledged{p, 1, kMs});
      cost.of(s, turn);
    }
  };
  run(calm, 15 * kSecond);
  EndpointListUpdate news{EndpointListKind::Delta, 0, {}};
  for (int k = 0; k < servers / 10; ++k) {
    news.endpoints.push_back(s.list[Scene::name(k)]);
    news.endpoints.back().state = EndpointState::Draining;
  }
  drain.of(s, {news});
  run(drain, 5 * kSecond);
  for (int k = 0; k < servers; ++k) s.latency[Scene::name(k)] = 1500 * kMs;
  run(pressed, 15 * kSecond);
  start.print("start");
  calm.print("calm");
  drain.print("a tenth drains");
  pressed.print("all pressed");
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  std::printf("  resident peak %ld MB (the scene's own tables among it)\n", used.ru_maxrss / 1024);
}

}  // namespace
}  // namespace peargrade

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: %s SERVERS PROXIES SLICES HELD\n", argv[0]);
    return 2;
  }
  peargrade::play(std::atoi(argv[1]), std::atoi(argv[2]), std::atoi(argv[3]), std::atoi(argv[4]));
}
