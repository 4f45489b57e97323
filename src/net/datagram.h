/// UDP sockets of the event loop.
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
    /// One datagram has arrived.
    std::function<void(const std::string&)> data;
    /// The address refuses datagrams, or the socket failed.
    std::function<void(const std::string& why)> failed;
  };
  /// `random` chooses the source port. Without a usable socket, send() returns false.
  Datagram(event_base* base, const Address& to, const std::function<std::uint32_t()>& random,
           Handlers handlers);
  ~Datagram();
  Datagram(const Datagram&) = delete;
  Datagram& operator=(const Datagram&) = delete;

  /// False without a socket, or if it does not take the datagram whole and at once.
  bool send(const std::string& bytes);
  /// The source port; 0 without a socket.
  std::uint16_t port() const;

 private:
  void bindRandomPort(const std::function<std::uint32_t()>& random);
  void read();

  evutil_socket_t socket_ = -1;
  std::shared_ptr<Handlers> handlers_;
  EventHandle readable_;
};

}  // namespace peargrade::net
