/// The TCP server at the supervisor's listen address. It answers health checks and passes the collectors'
/// load reports to the dispatcher. Protocol: kit/real/PROTOCOL.md. Limits and log lines: docs/service.md and
/// docs/oncall.md.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clients/connection_table.h"
#include "clients/discard_log.h"
#include "clients/limits.h"
#include "clients/lingering_closer.h"
#include "clients/messages.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/clock.h"
#include "net/listener.h"
#include "net/timer.h"

namespace peargrade::clients {

/// Owned by the supervisor; runs on the event loop's thread. For every connection that ends, it writes one
/// log line with the close reason.
class ReportServer {
 public:
  using Limits = ReportServerLimits;

  /// Listens on `address`; port 0 selects a free port. `names`, `dispatcher` and `log` must outlive the
  /// server. `slices`: number of slices in the settings. `clock`: a monotonic clock in microseconds. Throws
  /// std::runtime_error if it cannot listen on the address.
  ReportServer(event_base* base, const net::Address& address, const discovery::Names& names, int slices,
               dispatch::Dispatcher& dispatcher, log::Log& log, Limits limits,
               std::function<Micros()> clock = net::steadyNow);
  ~ReportServer();
  ReportServer(const ReportServer&) = delete;
  ReportServer& operator=(const ReportServer&) = delete;

  /// Number of open connections, excluding those in a lingering close.
  std::size_t connections() const { return connections_.size(); }
  /// Number of complete but invalid messages of collectors.
  std::uint64_t discardedMessages() const { return discards_.total(); }
  /// The address that the server listens on, with the actual port.
  const net::Address& address() const { return listener_.address(); }
  /// Closes connections that exceed an age limit. A timer calls it every Limits::sweepInterval.
  void sweep();

 private:
  using Iterator = ConnectionTable::Iterator;
  /// Whether a connection is still in the table after a processing step. If it is Closed, its iterator is
  /// invalid.
  enum class Status { Open, Closed };

  void accept(evutil_socket_t socket, const std::string& peer);
  void makeRoom();

  void onData(Iterator connection, evbuffer* input);
  Status decodeFrames(Iterator connection);
  Status onFrame(Iterator connection, const std::string& frame);
  Status onMessage(Iterator connection, const Message& message);
  Status onHeartbeat(Iterator connection);
  Status limitHealthCheckers(Iterator newest);
  Status answerHeartbeats(Iterator connection);
  void enforceBufferLimit(Iterator current);
  void enforceAgeLimits(Iterator connection, Micros now);

  /// Ends the connection. Sends a rejection first, unless the peer is a collector.
  Status reject(Iterator connection, log::CloseReason reason, const std::string& detail);
  /// Logs the close reason and closes the connection.
  Status end(Iterator connection, log::CloseReason reason, const std::string& detail);

  event_base* base_;
  const discovery::Names& names_;
  int slices_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  Limits limits_;
  std::function<Micros()> clock_;
  ConnectionTable connections_;
  LingeringCloser lingering_;
  DiscardLog discards_;
  net::Listener listener_;
  Micros sweptAt_ = 0;
  net::Timer sweepTimer_;
};

}  // namespace peargrade::clients
