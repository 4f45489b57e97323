#include "supervisor/node.h"

#include <algorithm>
#include <utility>

namespace peargrade::supervisor {
namespace {

constexpr Micros kReadyAtLast = 1500000;  // heartbeats are answered then whatever does not answer
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

// The settings as this program serves them, whatever the file says of what only the protocol decides.
Settings served(Settings settings) {
  settings.deliveryReported = true;    // by src/relay
  settings.endpointsOnRequest = true;  // discovery pushes to those that watch, whatever `registryMode` says
  return settings;
}

TakeOver takeOver(const op::Operator* op) {
  return op != nullptr && op->settingsReload ? TakeOver::AddressesAndSettings : TakeOver::Addresses;
}

clients::ReportServer::Limits clientLimits(const config::Config& config, int descriptors) {
  clients::ReportServer::Limits limits;
  const int granted = std::min(descriptors, config.limits.sockets);
  limits.connections = static_cast<std::size_t>(std::max(16, granted - kOwnDescriptors));
  limits.incompleteMessageBytes = Shares(config.limits.memoryMb).messages;
  return limits;
}

discovery::Discovery::Limits listLimits(const config::Config& config) {
  discovery::Discovery::Limits limits;
  limits.body = Shares(config.limits.memoryMb).list;
  limits.line = std::min(limits.line, limits.body);
  return limits;
}

relay::Relay::Limits relayLimits(const config::Config& config) {
  relay::Relay::Limits limits;
  limits.orders = Shares(config.limits.memoryMb).orders;
  return limits;
}

}  // namespace

Node::Node(event_base* base, const config::Config& config, std::function<config::Config()> loadAgain,
           log::Log& log, int descriptors, const op::Operator* op, const MakeSources& makeSources)
    : config_(config),
      log_(log),
      supervisor_(config_.seed, served(config_.settings), dispatcher_, log),
      clients_(base, config_.listen, config_.names, config_.settings.slices, dispatcher_, log,
               clientLimits(config_, descriptors)),
      relay_(base, config_.relay, config_.names, config_.settings.slices, config_.seed, dispatcher_, log,
             relayLimits(config_)),
      newConfig_(
          base, config_, std::move(loadAgain),
          [this, take = takeOver(op)](const config::Config& next) {
            if (discovery_) discovery_->moveTo(next.discovery);
            relay_.moveTo(next.relay);
            if (take == TakeOver::AddressesAndSettings)
              dispatcher_.post(SettingsChanged{served(next.settings)});
          },
          log, takeOver(op)),
      readyAtLast_(base, [this] { dispatcher_.readinessTimedOut(); }),
      wake_(base, [this] { woken_ = true; }) {
  if (op == nullptr || op->roster)
    discovery_.emplace(base, config_.discovery, config_.names, config_.known.version, dispatcher_, log,
                       listLimits(config_));
  if (makeSources) {
    sources_ = makeSources({base, op, &config_.names, &config_.known, &config_.knownEndpoints, &dispatcher_,
                            &log_, [this] { return clock_.now(); }});
    if (discovery_)
      discovery_->setListener(
          [this](const EndpointListUpdate& news, const std::vector<std::string>& endpoints) {
            sources_->roster(news, endpoints);
          });
  }
  log_.info("supervisor") << config_.name << " serves at " << config_.listen.text() << ", "
                          << config_.known.endpoints.size() << " servers known";
  readyAtLast_.schedule(kReadyAtLast);
  dispatcher_.post(config_.known);
}

void Node::turn() {
  const Micros now = clock_.now();
  const auto next = supervisor_.nextTimer();
  const bool due = next && *next <= now;
  if (!due && !dispatcher_.waiting()) {
    if (woken_) wakeAtNext();
    return;
  }
  supervisor_.turn(now);
  wakeAtNext();
}

// The loop's timer may pass a little before the module's is due: it is set again then.
void Node::wakeAtNext() {
  woken_ = false;
  if (const auto next = supervisor_.nextTimer()) wake_.schedule(*next - clock_.now());
}

void Node::reload() {
  newConfig_.ask();
  if (sources_) sources_->reload();
}

void Node::explain() {
  if (sources_) sources_->explain();
}

}  // namespace peargrade::supervisor
