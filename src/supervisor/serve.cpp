#include "supervisor/serve.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <limits>

#include "supervisor/clock.h"
#include "supervisor/signals.h"

namespace peargrade::supervisor {
namespace {

/// Longest wait for the relay's replies after SIGTERM, in microseconds. The process may be killed 0.7 s after
/// SIGTERM.
constexpr Micros kShutdownTimeout = 250000;

/// The limit of open file descriptors of this process.
int descriptorLimit() {
  constexpr rlim_t kMax = std::numeric_limits<int>::max();
  rlimit limit{};
  const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return static_cast<int>(known ? std::min(limit.rlim_cur, kMax) : kMax);
}

void runUntilStopped(event_base* base, SupervisorInstance& instance, const Signals& signals, log::Log& log) {
  while (!signals.stopping()) {
    instance.turn();
    log.flush();
    event_base_loop(base, EVLOOP_ONCE | (instance.hasEvents() ? EVLOOP_NONBLOCK : 0));
  }
}

/// Runs a last turn and waits up to kShutdownTimeout for the relay's replies, so that updates the engine has
/// decided on are not lost at the exit.
void finishUpdates(event_base* base, SupervisorInstance& instance) {
  const Clock clock;
  const Micros deadline = clock.now() + kShutdownTimeout;
  net::Timer deadlineTimer(base, [] {});
  instance.turn();
  while (instance.busy() && clock.now() < deadline) {
    deadlineTimer.schedule(deadline - clock.now());
    event_base_loop(base, EVLOOP_ONCE);
  }
}

void logCounts(const relay::UpdateCalls::Counts& counts, log::Log& log) {
  log.info("supervisor") << "stopping; relay calls " << counts.calls << " for " << counts.updates
                         << " updates, " << counts.undelivered << " undelivered, " << counts.confirmed
                         << " confirmed later, " << counts.commandsLost << " commands lost";
}

}  // namespace

int serve(const config::Config& config, const std::function<config::Config()>& loadConfig, log::Log& log,
          const op::Operator* op, const MakeSources& makeSources) {
  std::signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::makeBase();
  SupervisorInstance instance(base.get(), config, loadConfig, log, descriptorLimit(), op, makeSources);
  Signals signals(base.get());
  signals.onReload([&instance] { instance.reload(); });
  signals.onExplain([&instance] { instance.explain(); });

  runUntilStopped(base.get(), instance, signals, log);
  log.info("supervisor") << "ending";
  log.flush();
  finishUpdates(base.get(), instance);
  logCounts(instance.calls(), log);
  return 0;
}

}  // namespace peargrade::supervisor
