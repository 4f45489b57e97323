// One supervisor on a loop that the caller owns: both sides, the exchange and the module, without signals and
// without anything else that belongs to a process. `serve` runs one; several may share a loop.
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
#include "supervisor/reload.h"
#include "supervisor/supervisor.h"

namespace peargrade::supervisor {

// Makes the front of the sources that an operator's file names.
using MakeSources = std::function<std::unique_ptr<sources::SourceRegistry>(sources::Dependencies)>;

class Node {
 public:
  // `config` is kept. `loadAgain` reads the configuration anew at reload(). `descriptors`: how many this
  // supervisor may hold of those that the process has; the configuration may grant fewer. `op`,
  // `makeSources`: none, and discovery is the only source. Throws std::runtime_error where the address cannot
  // be listened on.
  Node(event_base* base, const config::Config& config, std::function<config::Config()> loadAgain,
       log::Log& log, int descriptors, const op::Operator* op = nullptr,
       const MakeSources& makeSources = nullptr);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // One turn: what is due and what has come goes to the module as one batch. Cheap where there is nothing.
  void turn();
  // Events wait for the next turn: the loop should not.
  bool waiting() const { return dispatcher_.hasEvents(); }
  // Reads the configuration anew, as SIGHUP asks.
  void reload();
  // Writes each server with its sources and the rule that decides to the log, as SIGUSR1 asks.
  void explain();

  // Where it listens; the port is the system's choice if the configuration left it open.
  const net::Address& address() const { return clients_.address(); }
  // Heartbeats are answered.
  bool ready() const { return dispatcher_.ready(); }
  // The relay has a call of this supervisor in hand, or orders wait for one.
  bool busy() const { return relay_.busy(); }
  const relay::UpdateCalls::Counts& calls() const { return relay_.counts(); }
  std::size_t connections() const { return clients_.connections(); }
  // Sees each event before the module does: for measurements.
  void onEvent(std::function<void(const Event&)> seen) { supervisor_.onEvent(std::move(seen)); }

 private:
  void wakeAtNext();

  const config::Config config_;
  log::Log& log_;
  const Clock clock_;
  bool woken_ = false;  // the timer of the loop has passed
  dispatch::Dispatcher dispatcher_;
  Supervisor supervisor_;
  clients::ReportServer clients_;
  std::optional<discovery::Discovery> discovery_;
  std::unique_ptr<sources::SourceRegistry> sources_;
  relay::RelayClient relay_;
  Reload newConfig_;
  net::Timer readyAtLast_;
  net::Timer wake_;  // ends the wait of the loop; the turn looks for what is due
};

}  // namespace peargrade::supervisor
