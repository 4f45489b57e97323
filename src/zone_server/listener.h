// Receives DNS messages over UDP and TCP at one address and sends the answers. It does not interpret
// messages. Limits on connections, unsent bytes and datagrams a turn protect the other work of the event loop
// from a flood.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "log/log.h"
#include "net/net.h"

namespace peargrade::zone_server {

/// Listens at one address over UDP and TCP (with the length prefix of RFC 1035, section 4.2.2). The
/// constructor throws std::runtime_error if it cannot listen there.
class Listener {
 public:
  /// Sends the answer; call it at most once. Has no effect if the answer is empty or the peer has
  /// disconnected.
  using Reply = std::function<void(const std::string&)>;
  using OnMessage = std::function<void(const std::string& message, const std::string& peer, Reply reply)>;
  struct Limits {
    std::size_t maxConnections = 64;
    Micros idleTimeout = 10000000;       // of a connection without a complete message
    std::size_t maxUnsentBytes = 65536;  // for each connection
    int maxDatagramsPerTurn = 64;        // of the event loop
  };

  Listener(event_base* base, const net::Address& at, OnMessage onMessage, log::Log& log, Limits limits);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  net::Address address() const { return address_; }
  std::size_t connections() const { return peers_.size(); }

 private:
  struct Peer {
    Peer(Listener& owner, std::uint64_t number);
    const std::uint64_t number;
    std::unique_ptr<net::Stream> stream;
    std::string input;  // received bytes of incomplete messages
    std::string name;   // HOST:PORT
    net::IdleTimeout idle;
    bool closed = false;  // removed by cleaner_, outside of its own callbacks
  };
  void onDatagrams();
  void accept(evutil_socket_t fd, const std::string& name);
  void onData(Peer& peer, evbuffer* input);
  void sendAnswer(std::uint64_t number, const std::string& bytes);
  void closeConnection(Peer& peer, log::CloseReason reason, const std::string& detail);

  event_base* base_;
  net::Address address_;
  OnMessage onMessage_;
  log::Log& log_;
  const Limits limits_;
  evutil_socket_t udp_ = -1;
  net::EventHandle readable_;
  net::ListenerHandle tcp_;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
  std::uint64_t nextNumber_ = 1;
  net::Timer cleaner_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace peargrade::zone_server
