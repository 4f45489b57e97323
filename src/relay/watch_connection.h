// Keeps one watch of the relay open: connects, reconnects with backoff, and switches to another address.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "log/log.h"
#include "net/line_splitter.h"
#include "net/net.h"
#include "relay/limits.h"

namespace peargrade::relay {

/// At most one watch is open, and at most one more is pending, that is, not accepted by the relay yet. After
/// a change of address the open watch stays in use until the new one is accepted.
class WatchConnection {
 public:
  struct Handlers {
    /// The relay has accepted WATCH. The lines that follow belong to a new watch.
    std::function<void()> opened;
    /// Called with each line, without its line end. If it throws ParseError, the watch is closed.
    std::function<void(const std::string&)> line;
    /// An open or pending watch is about to be closed. WatchConnection reconnects by itself.
    std::function<void()> ending;
  };

  /// Starts connecting. `seed` initializes the jitter of the reconnect backoff. `log` must outlive this
  /// object.
  WatchConnection(event_base* base, const net::Address& address, const Limits& limits, std::uint64_t seed,
                  log::Log& log, Handlers handlers);
  ~WatchConnection();
  WatchConnection(const WatchConnection&) = delete;
  WatchConnection& operator=(const WatchConnection&) = delete;

  /// Opens a watch at another address. The open watch stays in use until the new one is accepted.
  void moveTo(const net::Address& address);
  /// Resets the backoff once the open watch works: the next reconnect starts with the shortest delay.
  void resetBackoff() { backoff_.reset(); }
  /// Address of the open watch, or nullptr while none is open.
  const net::Address* openAddress() const;
  /// Microseconds since the last watch was opened.
  Micros openFor() const { return net::steadyNow() - openedAt_; }

 private:
  /// One connection on which WATCH is or will be called.
  struct Watch {
    Watch(WatchConnection& owner, const net::Address& address);
    const net::Address address;
    net::LineSplitter lines;
    net::IdleTimeout idleTimeout;
    std::unique_ptr<net::Stream> stream;
  };

  void connect();
  void onData(Watch& watch, evbuffer* input);
  /// Handles the reply to WATCH. Returns whether the watch is still open.
  bool onReply(Watch& watch, const std::string& line);
  /// Handles a line of the open watch. Returns whether the watch is still open.
  bool onLine(Watch& watch, const std::string& line);
  void end(Watch& watch, log::CloseReason reason, const std::string& detail);
  void logEnd(const Watch& watch, log::CloseReason reason, const std::string& detail);

  event_base* const base_;
  net::Address address_;
  const Limits limits_;
  log::Log& log_;
  const Handlers handlers_;
  std::unique_ptr<Watch> open_;
  /// Connecting, or awaiting the reply to WATCH.
  std::unique_ptr<Watch> pending_;
  /// The watch closed last. One of its callbacks may still be running, so it is destroyed only when the next
  /// watch is closed.
  std::unique_ptr<Watch> retired_;
  /// When `open_` was accepted, by net::steadyNow().
  Micros openedAt_ = 0;
  net::Backoff backoff_;
  net::Timer reconnectTimer_;
};

}  // namespace peargrade::relay
