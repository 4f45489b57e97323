/// UDP sockets for the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/address.h"
#include "net/handles.h"

namespace peargrade::net {

/// A UDP socket connected to one address, from an unpredictable source port (RFC 5452, section 4.5). The
/// kernel drops datagrams from any other address.
class Datagram {
 public:
  /// The owner may destroy the Datagram in either callback.
  struct Handlers {
    /// Called with the payload of each datagram received.
    std::function<void(const std::string&)> data;
    /// Called if the remote host reports the port as unreachable, or if the socket fails.
    std::function<void(const std::string& error)> failed;
  };
  /// `random`: source of random numbers for the source port. If no usable socket can be created, send()
  /// returns false.
  Datagram(event_base* base, const Address& to, const std::function<std::uint32_t()>& random,
           Handlers handlers);
  ~Datagram();
  Datagram(const Datagram&) = delete;
  Datagram& operator=(const Datagram&) = delete;

  /// Sends one datagram without blocking. Returns false if there is no socket or the datagram could not be
  /// sent.
  bool send(const std::string& bytes);
  /// The source port, or 0 if there is no socket.
  std::uint16_t port() const;

 private:
  void bindRandomPort(const std::function<std::uint32_t()>& random);
  void read();

  evutil_socket_t socket_ = -1;
  std::shared_ptr<Handlers> handlers_;
  EventHandle readable_;
};

}  // namespace peargrade::net
