/// TCP listening sockets for the event loop.
#pragma once

#include <functional>
#include <string>

#include "net/address.h"
#include "net/handles.h"
#include "net/timer.h"

namespace peargrade::net {

/// Accepts TCP connections, at most a given number per event loop iteration, so that a flood of connections
/// does not delay other events. After a failed accept, for example because no file descriptor is free, the
/// listener pauses; the kernel queues connections in the meantime.
class Listener {
 public:
  struct Handlers {
    /// Called for each accepted connection; takes ownership of the socket. `peer`: the peer's address and
    /// port, for log lines.
    std::function<void(evutil_socket_t socket, const std::string& peer)> accepted;
    /// Called after a failed accept.
    std::function<void(const std::string& error)> failed;
  };
  /// Listens on `address`; port 0 selects a free port. Throws std::runtime_error if it cannot listen there.
  Listener(event_base* base, const Address& address, std::size_t acceptsPerTurn, Handlers handlers);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Stops or continues to accept connections. While stopped, the kernel queues them.
  void setAccepting(bool accepting);
  /// Whether a connection waits to be accepted. Costs one system call.
  bool hasWaitingConnection() const;
  /// Limits the bytes that the kernel receives ahead of the program on each connection accepted from now on.
  /// The kernel may double the value.
  void limitReceiveBuffer(int bytes);

  /// The address that the socket listens on, with the actual port.
  const Address& address() const { return address_; }

 private:
  static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr* from, int, void* self);
  static void onAcceptError(evconnlistener*, void* self);
  void startTurn();
  void resume();

  Address address_;
  std::size_t acceptsPerTurn_;
  Handlers handlers_;
  std::size_t acceptedThisTurn_ = 0;
  bool accepting_ = true;
  ListenerHandle listener_;
  Timer nextTurn_;
  Timer pauseAfterError_;
};

}  // namespace peargrade::net
