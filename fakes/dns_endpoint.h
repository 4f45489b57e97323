// The sockets of a fake DNS server: UDP and TCP (RFC 1035, section 4.2) at one loopback address, on a loop
// that the caller owns.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/net.h"

namespace peargrade::fakes {

/// "\x12\x34" for 0x1234: a number in network byte order.
std::string bigEndian16(unsigned value);

/// A message with its length before it, as TCP carries it (RFC 1035, section 4.2.2).
std::string framedForTcp(const std::string& message);

class DnsEndpoint {
 public:
  /// One TCP connection.
  struct Connection {
    std::unique_ptr<net::Stream> stream;
    evutil_socket_t fd = -1;
    std::string input;  // bytes of a message that is not complete yet
  };
  using Peer = std::list<Connection>::iterator;

  struct Handlers {
    /// Answers a datagram from `port` of the loopback host; "" sends nothing.
    std::function<std::string(const std::string& query, std::uint16_t port)> datagram;
    /// Takes one message of a TCP connection. False: the handler has closed that connection.
    std::function<bool(Peer peer, const std::string& query)> message;
  };

  /// Opens both sockets. With port 0 the system chooses one that is free for both transports. Throws
  /// std::runtime_error where the address is in use.
  DnsEndpoint(event_base* base, const net::Address& address, Handlers handlers);
  ~DnsEndpoint();
  DnsEndpoint(const DnsEndpoint&) = delete;
  DnsEndpoint& operator=(const DnsEndpoint&) = delete;

  const net::Address& address() const { return address_; }
  /// Closes the sockets and all connections; open() opens them again at the same address.
  void close();
  void open();

  /// Closes a connection in order, or by a reset.
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
