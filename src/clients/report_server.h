/// The server at the supervisor's own address. It answers health checks and passes collectors' load reports
/// on to the dispatcher. Peers and messages: kit/real/PROTOCOL.md; limits and log lines: docs/service.md,
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

/// Owned by the supervisor; runs on the event loop's thread. Every connection that ends leaves one log line
/// with the reason code.
class ReportServer {
 public:
  using Limits = ReportServerLimits;

  /// Listens on `address`; port 0 lets the system choose. `names` and `dispatcher` must outlive it. `slices`:
  /// number of slices in the settings. `clock`: microseconds, monotonic. Throws std::runtime_error if the
  /// address is unusable.
  ReportServer(event_base* base, const net::Address& address, const discovery::Names& names, int slices,
               dispatch::Dispatcher& dispatcher, log::Log& log, Limits limits,
               std::function<Micros()> clock = net::steadyNow);
  ~ReportServer();
  ReportServer(const ReportServer&) = delete;
  ReportServer& operator=(const ReportServer&) = delete;

  /// Open connections, without those in a lingering close.
  std::size_t connections() const { return connections_.size(); }
  /// Messages of collectors that were complete but invalid.
  std::uint64_t discardedMessages() const { return discards_.total(); }
  /// The address listened on, with the port in use.
  const net::Address& address() const { return listener_.address(); }
  /// Ends connections that exceed an age limit. Runs by itself every Limits::sweepInterval.
  void sweep();

 private:
  using Iterator = ConnectionTable::Iterator;
  /// Whether a connection is still in the table after a step; if not, its iterator is invalid.
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

  /// Sends a rejection if the peer may receive one, then ends the connection.
  Status reject(Iterator connection, log::CloseReason reason, const std::string& detail);
  /// Logs the end and closes.
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
