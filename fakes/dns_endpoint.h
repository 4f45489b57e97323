// The sockets of a fake DNS server: UDP and TCP (RFC 1035, section 4.2) at one loopback address, on an event
// loop that the caller owns.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/net.h"

namespace peargrade::fakes {

/// A 16-bit number in network byte order: "\x12\x34" for 0x1234.
std::string bigEndian16(unsigned value);

/// A message prefixed with its length for TCP (RFC 1035, section 4.2.2).
std::string framedForTcp(const std::string& message);

/// Accepts DNS messages over both transports and passes them to handlers.
class DnsEndpoint {
 public:
  /// One TCP connection.
  struct Connection {
    std::unique_ptr<net::Stream> stream;
    evutil_socket_t fd = -1;
    /// Bytes of a message that has not been received completely.
    std::string input;
  };
  using Peer = std::list<Connection>::iterator;

  struct Handlers {
    /// Returns the answer to a datagram from loopback port `port`; "" sends nothing.
    std::function<std::string(const std::string& query, std::uint16_t port)> datagram;
    /// Handles one message of a TCP connection. Returns false if the handler has closed the connection.
    std::function<bool(Peer peer, const std::string& query)> message;
  };

  /// Opens both sockets. For port 0 the system chooses one that is free for both transports. Throws
  /// std::runtime_error if the address is in use.
  DnsEndpoint(event_base* base, const net::Address& address, Handlers handlers);
  ~DnsEndpoint();
  DnsEndpoint(const DnsEndpoint&) = delete;
  DnsEndpoint& operator=(const DnsEndpoint&) = delete;

  const net::Address& address() const { return address_; }
  /// Closes the sockets and all connections; open() opens the sockets again at the same address.
  void close();
  void open();

  /// end() closes a connection gracefully, reset() with a TCP reset.
  void end(Peer peer) { connections_.erase(peer); }
  void reset(Peer peer);

 private:
  void listen(sockaddr_in& at);
  bool bindDatagrams(const sockaddr_in& at);
  void accept(evutil_socket_t fd);
  void onDatagrams();
  void onData(Peer peer, evbuffer* input);

  event_base* base_;
  net::Address address_;
  Handlers handlers_;
  evutil_socket_t udp_ = -1;
  net::EventHandle readable_;
  net::ListenerHandle listener_;
  std::list<Connection> connections_;
};

}  // namespace peargrade::fakes
