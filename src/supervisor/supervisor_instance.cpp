#include "supervisor/supervisor_instance.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "supervisor/memory_budget.h"

namespace peargrade::supervisor {
namespace {

/// Time in microseconds after which heartbeats are answered even if the relay or discovery is unavailable.
constexpr Micros kReadinessTimeout = 1500000;
/// File descriptors reserved for the relay, discovery, the event loop and the log, including a reserve for
/// connections that are being closed.
constexpr int kReservedDescriptors = 48;
/// Minimum limit of client connections, regardless of the number of descriptors.
constexpr int kConnectionsMin = 16;

/// The settings with the two values that depend on this program's protocols and not on the configuration
/// file.
Settings effectiveSettings(Settings settings) {
  settings.deliveryReported = true;    // the relay client reports each delivery
  settings.endpointsOnRequest = true;  // discovery pushes the list only to clients that watch it
  return settings;
}

ReloadScope reloadScope(const op::Operator* op) {
  const bool reloadsSettings = op != nullptr && op->settingsReload;
  return reloadsSettings ? ReloadScope::AddressesAndSettings : ReloadScope::Addresses;
}

clients::ReportServer::Limits clientLimits(const config::Config& config, int descriptorLimit) {
  clients::ReportServer::Limits limits;
  const int maxDescriptors = std::min(descriptorLimit, config.limits.sockets);
  limits.connections =
      static_cast<std::size_t>(std::max(kConnectionsMin, maxDescriptors - kReservedDescriptors));
  limits.incompleteMessageBytes = MemoryBudget(config.limits.memoryMb).clientMessages;
  return limits;
}

discovery::Discovery::Limits discoveryLimits(const config::Config& config) {
  discovery::Discovery::Limits limits;
  limits.responseBytesMax = MemoryBudget(config.limits.memoryMb).endpointList;
  limits.objectBytesMax = std::min(limits.objectBytesMax, limits.responseBytesMax);
  return limits;
}

relay::Limits relayLimits(const config::Config& config) {
  relay::Limits limits;
  limits.pendingCommandsMax = MemoryBudget(config.limits.memoryMb).pendingCommands;
  return limits;
}

}  // namespace

SupervisorInstance::SupervisorInstance(event_base* base, const config::Config& config,
                                       std::function<config::Config()> loadConfig, log::Log& log,
                                       int descriptorLimit, const op::Operator* op,
                                       const MakeSources& makeSources)
    : config_(config),
      log_(log),
      engine_(config_.seed, effectiveSettings(config_.settings), dispatcher_, log),
      reportServer_(base, config_.listen, config_.names, config_.settings.slices, dispatcher_, log,
                    clientLimits(config_, descriptorLimit)),
      relay_(base, config_.relay, config_.names, config_.settings.slices, config_.seed, dispatcher_, log,
             relayLimits(config_)),
      configReload_(base, config_,
                    {std::move(loadConfig), [this, scope = reloadScope(op)](
                                                const config::Config& next) { applyConfig(next, scope); }},
                    log, reloadScope(op)),
      readinessTimer_(base, [this] { dispatcher_.readinessTimedOut(); }),
      turnTimer_(base, [this] { turnTimerFired_ = true; }) {
  if (op == nullptr || op->roster)
    discovery_.emplace(base, config_.discovery, config_.names, config_.cachedList.version, dispatcher_, log,
                       discoveryLimits(config_));
  if (makeSources) openSources(base, op, makeSources);
  log_.info("supervisor") << config_.name << " listens on " << config_.listen.text() << "; "
                          << config_.cachedList.endpoints.size() << " servers in the cached endpoint list";
  readinessTimer_.schedule(kReadinessTimeout);
  dispatcher_.post(config_.cachedList);
}

// With sources, discovery passes its endpoint list to them instead of the dispatcher, and they post the
// merged list.
void SupervisorInstance::openSources(event_base* base, const op::Operator* op,
                                     const MakeSources& makeSources) {
  sources_ =
      makeSources({base, op, &config_.names, &config_.cachedList, &config_.cachedAddresses, &dispatcher_,
                   &log_, [this] { return clock_.now(); }, MemoryBudget(config_.limits.memoryMb).zones});
  if (!discovery_) return;
  discovery_->setListener(
      [this](const EndpointListUpdate& update, const std::vector<std::string>& endpoints) {
        sources_->roster(update, endpoints);
      });
}

void SupervisorInstance::applyConfig(const config::Config& next, ReloadScope scope) {
  if (discovery_) discovery_->moveTo(next.discovery);
  relay_.moveTo(next.relay);
  if (scope == ReloadScope::AddressesAndSettings)
    dispatcher_.post(SettingsChanged{effectiveSettings(next.settings)});
}

void SupervisorInstance::turn() {
  const Micros now = clock_.now();
  const auto nextTimer = engine_.nextTimer();
  const bool timerDue = nextTimer && *nextTimer <= now;
  if (timerDue || dispatcher_.hasEvents()) {
    engine_.turn(now);
    scheduleNextTurn();
  } else if (turnTimerFired_) {
    scheduleNextTurn();  // the event loop's timer fired slightly before the engine's timer is due
  }
}

void SupervisorInstance::scheduleNextTurn() {
  turnTimerFired_ = false;
  if (const auto nextTimer = engine_.nextTimer()) turnTimer_.schedule(*nextTimer - clock_.now());
}

void SupervisorInstance::reload() {
  configReload_.request();
  if (sources_) sources_->reload();
}

void SupervisorInstance::explain() {
  if (sources_) sources_->explain();
}

}  // namespace peargrade::supervisor
