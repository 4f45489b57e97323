// One supervisor on an event loop that the caller owns. Does not handle signals or other process-wide state.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "clients/report_server.h"
#include "config/config.h"
#include "discovery/discovery.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/net.h"
#include "relay/relay_client.h"
#include "sources/source_registry.h"
#include "supervisor/clock.h"
#include "supervisor/config_reload.h"
#include "supervisor/engine_runner.h"

namespace peargrade::supervisor {

/// Creates the registry of the sources that the operator's file configures.
using MakeSources = std::function<std::unique_ptr<sources::SourceRegistry>(sources::Dependencies)>;

/// Owns the engine, the connections to all peers and the dispatcher between them. serve() runs one instance
/// as a process; several instances can share an event loop.
class SupervisorInstance {
 public:
  /// `loadConfig` reads the configuration again at reload(). `descriptorLimit` is the number of file
  /// descriptors that this supervisor may use; the configuration can lower it. `op` is the operator's file,
  /// or nullptr if there is none. `makeSources` is empty if discovery is the only source. `log` and `op` must
  /// outlive this object. Throws std::runtime_error if it cannot listen on the configured address.
  SupervisorInstance(event_base* base, const config::Config& config,
                     std::function<config::Config()> loadConfig, log::Log& log, int descriptorLimit,
                     const op::Operator* op = nullptr, const MakeSources& makeSources = nullptr);
  SupervisorInstance(const SupervisorInstance&) = delete;
  SupervisorInstance& operator=(const SupervisorInstance&) = delete;

  /// Runs the engine on the due timers and posted events, as one batch. To be called in each iteration of the
  /// event loop; cheap if there are none.
  void turn();
  /// Whether events are queued for the next turn, so that the event loop must not wait.
  bool hasEvents() const { return dispatcher_.hasEvents(); }
  /// Reloads the configuration and the files that the operator's file names. Called on SIGHUP.
  void reload();
  /// Logs each server with its sources and the rule that determines its state. Called on SIGUSR1.
  void explain();

  /// The address listened on. If the configured port is 0, this holds the port that the system chose.
  const net::Address& address() const { return reportServer_.address(); }
  /// Whether heartbeats are answered.
  bool ready() const { return dispatcher_.ready(); }
  /// Whether a call to the relay is in flight, or commands are pending that can still be sent.
  bool busy() const { return relay_.busy(); }
  const relay::UpdateCalls::Counts& calls() const { return relay_.counts(); }
  /// Number of open client connections.
  std::size_t connections() const { return reportServer_.connections(); }
  /// Sets a function that is called with each event before the engine handles it; for measurements.
  void onEvent(std::function<void(const Event&)> observer) { engine_.onEvent(std::move(observer)); }

 private:
  void openSources(event_base* base, const op::Operator* op, const MakeSources& makeSources);
  void applyConfig(const config::Config& next, ReloadScope scope);
  void scheduleNextTurn();

  const config::Config config_;
  log::Log& log_;
  const Clock clock_;
  /// Whether `turnTimer_` has fired since it was last scheduled.
  bool turnTimerFired_ = false;
  dispatch::Dispatcher dispatcher_;
  EngineRunner engine_;
  clients::ReportServer reportServer_;
  /// Empty if the operator's file disables discovery.
  std::optional<discovery::Discovery> discovery_;
  std::unique_ptr<sources::SourceRegistry> sources_;
  relay::RelayClient relay_;
  ConfigReload configReload_;
  net::Timer readinessTimer_;
  /// Wakes the event loop when the engine's next timer is due.
  net::Timer turnTimer_;
};

}  // namespace peargrade::supervisor
