/// TCP listening sockets of the event loop.
#pragma once

#include <functional>
#include <string>

#include "net/address.h"
#include "net/handles.h"
#include "net/timer.h"

namespace peargrade::net {

/// Accepts TCP connections, a bounded number per turn of the loop so that a flood leaves others their turn.
/// After a failed accept, for instance without a free descriptor, it pauses; the kernel queues connections
/// meanwhile.
class Listener {
 public:
  struct Handlers {
    /// A connection was accepted; the handler owns the socket. `peer`: its address and port, for log lines.
    std::function<void(evutil_socket_t socket, const std::string& peer)> accepted;
    /// An accept failed.
    std::function<void(const std::string& error)> failed;
  };
  /// Port 0 lets the system choose. Throws std::runtime_error if the address cannot be listened on.
  Listener(event_base* base, const Address& address, std::size_t acceptsPerTurn, Handlers handlers);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// The address listened on, with the port in use.
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
  ListenerHandle listener_;
  Timer nextTurn_;
  Timer pauseAfterError_;
};

}  // namespace peargrade::net
