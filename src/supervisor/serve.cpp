#include "supervisor/serve.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <stdexcept>

#include "clients/clients.h"
#include "discovery/discovery.h"
#include "exchange/exchange.h"
#include "net/net.h"
#include "relay/relay.h"
#include "supervisor/clock.h"
#include "supervisor/reload.h"
#include "supervisor/signals.h"
#include "supervisor/supervisor.h"

namespace peargrade::supervisor {
namespace {

constexpr Micros kReadyAtLast = 1500000;  // heartbeats are answered then whatever does not answer
constexpr Micros kEndWithin = 250000;     // of SIGTERM; a process that goes on is killed 0.7 s after it
constexpr int kOwnDescriptors = 48;       // relay, discovery, loop, log and room for those just ended
constexpr std::size_t kOrderBytes = 512;  // that an order takes while it waits, at most

// What may be held for peers follows the memory that the configuration grants: together about a third of it.
struct Shares {
  std::size_t messages;  // unfinished messages of clients
  std::size_t list;      // one answer of discovery, which is parsed into as much again
  std::size_t orders;    // that wait for the relay

  explicit Shares(std::int64_t memoryMb) {
    const std::size_t all = static_cast<std::size_t>(memoryMb) << 20;
    messages = all / 16;
    list = all / 16;
    orders = all / 8 / kOrderBytes;
  }
};

// As many as the configuration grants, but no more than the system lets this process have.
int descriptors(const config::Config& config) {
  rlimit own{};
  if (getrlimit(RLIMIT_NOFILE, &own) != 0 || own.rlim_cur == RLIM_INFINITY) return config.limits.sockets;
  return static_cast<int>(std::min<rlim_t>(own.rlim_cur, static_cast<rlim_t>(config.limits.sockets)));
}

// The settings as this program serves them.
Settings served(Settings settings) {
  settings.ordersTold = true;     // by src/relay
  settings.listOnRequest = true;  // discovery pushes to those that watch, whatever `registryMode` says
  return settings;
}

}  // namespace

int serve(const config::Config& config, const std::function<config::Config()>& loadAgain, log::Log& log,
          const op::Operator* op, const MakeSources& makeSources) {
  std::signal(SIGPIPE, SIG_IGN);
  const Clock clock;
  const net::EventBase base = net::makeBase();
  exchange::Exchange exchange;
  Supervisor supervisor(config.seed, served(config.settings), exchange, log);
  clients::Clients::Limits clientLimits;
  clientLimits.connections = static_cast<std::size_t>(std::max(16, descriptors(config) - kOwnDescriptors));
  const Shares shares(config.limits.memoryMb);
  clientLimits.held = shares.messages;
  discovery::Discovery::Limits listLimits;
  listLimits.body = shares.list;
  listLimits.line = std::min(listLimits.line, shares.list);
  relay::Relay::Limits relayLimits;
  relayLimits.orders = shares.orders;
  clients::Clients clients(base.get(), config.listen, config.names, config.settings.slices, exchange, log,
                           clientLimits);
  std::optional<discovery::Discovery> discovery;
  if (op == nullptr || op->roster)
    discovery.emplace(base.get(), config.discovery, config.names, config.known.version, exchange, log,
                      listLimits);
  std::unique_ptr<sources::Front> sources;
  if (makeSources) {
    sources = makeSources({base.get(), op, &config.names, &config.known, &config.knownEndpoints, &exchange,
                           &log, [&clock] { return clock.now(); }});
    if (discovery)
      discovery->tellTo([&sources](const ListNews& news, const std::vector<std::string>& endpoints) {
        sources->roster(news, endpoints);
      });
  }
  relay::Relay relay(base.get(), config.relay, config.names, config.settings.slices, config.seed, exchange,
                     log, relayLimits);
  log.info("supervisor") << config.name << " serves at " << config.listen.text() << ", "
                         << config.known.entries.size() << " servers known";

  const bool settingsToo = op != nullptr && op->settingsReload;
  Reload newConfig(
      base.get(), config, loadAgain,
      [&](const config::Config& next) {
        if (discovery) discovery->moveTo(next.discovery);
        relay.moveTo(next.relay);
        if (settingsToo) exchange.post(SettingsChanged{served(next.settings)});
      },
      log, settingsToo ? TakeOver::AddressesAndSettings : TakeOver::Addresses);
  Signals signals(base.get());
  signals.onReload([&newConfig, &sources] {
    newConfig.ask();
    if (sources) sources->reload();
  });
  if (sources) signals.onExplain([&sources] { sources->explain(); });

  net::Timer readyAtLast(base.get(), [&] { exchange.waitedEnough(); });
  readyAtLast.in(kReadyAtLast);
  net::Timer wake(base.get(), [] {});  // ends the wait of the loop; the turn looks for what is due
  exchange.post(config.known);
  while (!signals.stopping()) {
    const Micros now = clock.now();
    supervisor.turn(now);
    log.flush();
    if (const auto next = supervisor.nextTimer()) wake.in(*next - clock.now());
    event_base_loop(base.get(), EVLOOP_ONCE | (exchange.waiting() ? EVLOOP_NONBLOCK : 0));
  }
  // Guards against orders that are decided and go with the process: those of the last turn are given to the
  // relay, and what it has in hand is finished, within a bound.
  log.info("supervisor") << "ending";
  log.flush();
  const Micros end = clock.now() + kEndWithin;
  supervisor.turn(clock.now());
  while (relay.busy() && clock.now() < end) {
    wake.in(end - clock.now());
    event_base_loop(base.get(), EVLOOP_ONCE);
  }
  const auto& counts = relay.counts();
  log.info("supervisor") << "stopping; relay calls " << counts.calls << " for " << counts.replies
                         << " replies, " << counts.missed << " missed, " << counts.settled
                         << " settled by evidence, " << counts.lost << " orders lost";
  return 0;
}

}  // namespace peargrade::supervisor
