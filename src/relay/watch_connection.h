// Keeps one watch of the relay open: connects, reconnects with backoff, and moves to another address.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "log/log.h"
#include "net/line_splitter.h"
#include "net/net.h"
#include "relay/limits.h"

namespace peargrade::relay {

/// At most one watch is open, and one more is pending while it is not answered yet: after a move the old
/// watch serves until the new one has been answered.
class WatchConnection {
 public:
  struct Handlers {
    /// WATCH was answered: the lines that follow are those of a new watch.
    std::function<void()> opened;
    /// One line, without its line end. May throw ParseError: the watch ends then.
    std::function<void(const std::string&)> line;
    /// A watch, open or pending, is about to end; reconnecting is up to this class.
    std::function<void()> ending;
  };

  /// Connects at once. `seed`: of the jitter of the backoff.
  WatchConnection(event_base* base, const net::Address& address, const Limits& limits, std::uint64_t seed,
                  log::Log& log, Handlers handlers);
  ~WatchConnection();
  WatchConnection(const WatchConnection&) = delete;
  WatchConnection& operator=(const WatchConnection&) = delete;

  /// Opens a watch at another address; the open one serves until that is answered.
  void moveTo(const net::Address& address);
  /// The open watch has proved good: the next reconnect begins with the shortest delay.
  void resetBackoff() { backoff_.reset(); }
  /// Address of the open watch; none is open: nullptr.
  const net::Address* openAddress() const;
  /// How long the open watch has been open, in microseconds.
  Micros openFor() const { return net::steadyNow() - openedAt_; }

 private:
  struct Watch {
    Watch(WatchConnection& owner, const net::Address& address);
    const net::Address address;
    net::LineSplitter lines;
    net::IdleTimeout idleTimeout;
    std::unique_ptr<net::Stream> stream;
  };

  void connect();
  void onData(Watch& watch, evbuffer* input);
  /// Both return whether the watch is still there.
  bool onReply(Watch& watch, const std::string& line);
  bool onLine(Watch& watch, const std::string& line);
  void end(Watch& watch, log::CloseReason reason, const std::string& detail);
  void logEnd(const Watch& watch, log::CloseReason reason, const std::string& detail);

  event_base* const base_;
  net::Address address_;
  const Limits limits_;
  log::Log& log_;
  const Handlers handlers_;
  std::unique_ptr<Watch> open_;
  /// WATCH is not answered yet.
  std::unique_ptr<Watch> pending_;
  /// Ended last; it may be in one of its own callbacks, so its memory is kept until the next one ends.
  std::unique_ptr<Watch> retired_;
  /// On the steady clock.
  Micros openedAt_ = 0;
  net::Backoff backoff_;
  net::Timer reconnectTimer_;
};

}  // namespace peargrade::relay
