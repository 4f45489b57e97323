#include "supervisor/serve.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <limits>

#include "supervisor/clock.h"
#include "supervisor/signals.h"

namespace peargrade::supervisor {
namespace {

constexpr Micros kEndWithin = 250000;  // of SIGTERM; a process that goes on is killed 0.7 s after it

// As many as the system lets this process have.
int descriptors() {
  rlimit own{};
  constexpr rlim_t kMost = std::numeric_limits<int>::max();
  if (getrlimit(RLIMIT_NOFILE, &own) != 0 || own.rlim_cur == RLIM_INFINITY) return static_cast<int>(kMost);
  return static_cast<int>(std::min(own.rlim_cur, kMost));
}

}  // namespace

int serve(const config::Config& config, const std::function<config::Config()>& loadAgain, log::Log& log,
          const op::Operator* op, const MakeSources& makeSources) {
  std::signal(SIGPIPE, SIG_IGN);
  const net::EventBase base = net::makeBase();
  Node node(base.get(), config, loadAgain, log, descriptors(), op, makeSources);
  Signals signals(base.get());
  signals.onReload([&node] { node.reload(); });
  signals.onExplain([&node] { node.explain(); });

  while (!signals.stopping()) {
    node.turn();
    log.flush();
    event_base_loop(base.get(), EVLOOP_ONCE | (node.waiting() ? EVLOOP_NONBLOCK : 0));
  }
  // Guards against orders that are decided and go with the process: those of the last turn are given to the
  // relay, and what it has in hand is finished, within a bound.
  log.info("supervisor") << "ending";
  log.flush();
  const Clock clock;
  const Micros end = clock.now() + kEndWithin;
  net::Timer wake(base.get(), [] {});
  node.turn();
  while (node.busy() && clock.now() < end) {
    wake.schedule(end - clock.now());
    event_base_loop(base.get(), EVLOOP_ONCE);
  }
  const auto& counts = node.calls();
  log.info("supervisor") << "stopping; relay calls " << counts.calls << " for " << counts.replies
                         << " replies, " << counts.missed << " missed, " << counts.settled
                         << " settled by evidence, " << counts.lost << " orders lost";
  return 0;
}

}  // namespace peargrade::supervisor
