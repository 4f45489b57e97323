// One supervisor on a loop that the caller owns, without signals and without anything else of a process.
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

/// Creates the source registry of the sources that an operator's file names.
using MakeSources = std::function<std::unique_ptr<sources::SourceRegistry>(sources::Dependencies)>;

/// Connects the engine with the packages that speak a protocol. `serve` runs one as a process; several may
/// share a loop.
class SupervisorInstance {
 public:
  /// `loadConfig`: reads the configuration anew at reload(). `descriptors`: how many of the process's file
  /// descriptors this supervisor may use; the configuration may grant fewer. `op`: the operator's file; none:
  /// nullptr. `makeSources`: empty where discovery is the only source.
  /// Throws std::runtime_error where the address cannot be listened on.
  SupervisorInstance(event_base* base, const config::Config& config,
                     std::function<config::Config()> loadConfig, log::Log& log, int descriptors,
                     const op::Operator* op = nullptr, const MakeSources& makeSources = nullptr);
  SupervisorInstance(const SupervisorInstance&) = delete;
  SupervisorInstance& operator=(const SupervisorInstance&) = delete;

  /// One turn of the loop: gives the engine what is due and what has come as one batch. Cheap where there is
  /// nothing.
  void turn();
  /// Events are queued for the next turn: the loop should not wait.
  bool hasEvents() const { return dispatcher_.hasEvents(); }
  /// Reads the configuration and what the operator's file names anew, as SIGHUP asks.
  void reload();
  /// Logs each server with its sources and the rule that decides, as SIGUSR1 asks.
  void explain();

  /// Where it listens; the system chooses the port if the configuration leaves it open.
  const net::Address& address() const { return reportServer_.address(); }
  /// Whether heartbeats are answered.
  bool ready() const { return dispatcher_.ready(); }
  /// A call to the relay awaits its reply, or commands are pending.
  bool busy() const { return relay_.busy(); }
  const relay::UpdateCalls::Counts& calls() const { return relay_.counts(); }
  /// Connections of clients.
  std::size_t connections() const { return reportServer_.connections(); }
  /// Calls `observer` with each event before the engine gets it; for measurements.
  void onEvent(std::function<void(const Event&)> observer) { engine_.onEvent(std::move(observer)); }

 private:
  void openSources(event_base* base, const op::Operator* op, const MakeSources& makeSources);
  void applyConfig(const config::Config& next, ReloadScope scope);
  void scheduleNextTurn();

  const config::Config config_;
  log::Log& log_;
  const Clock clock_;
  /// The turn timer has ended the wait of the loop since the last turn.
  bool turnTimerFired_ = false;
  dispatch::Dispatcher dispatcher_;
  EngineRunner engine_;
  clients::ReportServer reportServer_;
  /// None where the operator's file excludes discovery.
  std::optional<discovery::Discovery> discovery_;
  std::unique_ptr<sources::SourceRegistry> sources_;
  relay::RelayClient relay_;
  ConfigReload configReload_;
  net::Timer readinessTimer_;
  /// Ends the wait of the loop when the engine's next timer is due.
  net::Timer turnTimer_;
};

}  // namespace peargrade::supervisor
