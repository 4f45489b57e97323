// Receives DNS messages over UDP and TCP at one address and sends the answers. It does not interpret
// messages. Requests are processed in turn by sender, a limited time in each turn of the event loop, so that
// no sender keeps the others or the other work of the loop waiting.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "log/log.h"
#include "net/listener.h"
#include "net/net.h"
#include "zone_server/request_queue.h"

namespace peargrade::zone_server {

/// Listens at one address over UDP and TCP (with the length prefix of RFC 1035, section 4.2.2). The
/// constructor throws std::runtime_error if it cannot listen there.
class Listener {
 public:
  using Reply = zone_server::Reply;
  using OnMessage = std::function<void(const std::string& message, const std::string& peer, Reply reply)>;
  /// Durations are in microseconds.
  struct Limits {
    std::size_t maxConnections = 64;
    /// Connections accepted in a turn of the event loop.
    std::size_t acceptsPerTurn = 16;
    /// Of a connection without a complete message.
    Micros idleTimeout = 10000000;
    /// A connection is not closed in favor of a new one before it has been idle for `idleGrace`, or open for
    /// `busyGrace`. Meanwhile new connections wait in the kernel's queue.
    Micros idleGrace = 100000;
    Micros busyGrace = 2000000;
    /// For each connection.
    std::size_t maxUnsentBytes = 65536;
    /// Bytes that the kernel receives ahead on each connection.
    int receiveBufferBytes = 32768;
    /// Incomplete messages of all connections together.
    std::size_t maxInputBytes = std::size_t{12} << 20;
    int maxDatagramsPerTurn = 512;
    int maxRequestsPerTurn = 64;
    /// Requests are processed for this long in a turn.
    Micros processingTime = 4000;
  };

  Listener(event_base* base, const net::Address& at, OnMessage onMessage, log::Log& log, Limits limits);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  net::Address address() const { return tcp_->address(); }
  /// Number of open connections.
  std::size_t connections() const;
  /// Datagrams discarded because their sender, or all senders together, exceeded a limit.
  std::uint64_t droppedDatagrams() const { return droppedDatagrams_; }
  /// Requests that wait to be processed.
  std::size_t waitingRequests() const { return streamRequests_.size() + datagramRequests_.size(); }

 private:
  struct Peer {
    Peer(Listener& owner, std::uint64_t number);
    const std::uint64_t number;
    const std::string source;  // in the queue of requests
    std::unique_ptr<net::Stream> stream;
    std::string input;  // received bytes that are not in the queue of requests yet
    std::string name;   // HOST:PORT
    net::IdleTimeout idle;
    Micros acceptedAt = 0;
    Micros lastActivity = 0;  // the accept, or the last complete message or answer
    bool paused = false;      // complete messages wait in `input`; nothing is read
    bool closed = false;      // removed by cleaner_, outside of its own callbacks
  };
  void openDatagramSocket();
  void accept(evutil_socket_t fd, const std::string& name);
  bool isEvictable(const Peer& peer, Micros now) const;
  Peer* evictionCandidate();
  void makeRoom();

  void onData(Peer& peer, evbuffer* input);
  void queueMessages(Peer& peer);
  static bool hasMessage(const Peer& peer);
  void limitInput();
  void readDatagrams();
  void queueDatagram(std::string message, const sockaddr_in& from);
  void logDroppedDatagrams();

  void processRequests();
  bool processNext();
  void continuePausedPeers();
  void sendAnswer(std::uint64_t number, const std::string& bytes);
  void closeConnection(Peer& peer, log::CloseReason reason, const std::string& detail);

  event_base* base_;
  OnMessage onMessage_;
  log::Log& log_;
  const Limits limits_;
  std::unique_ptr<net::Listener> tcp_;
  evutil_socket_t udp_ = -1;
  net::EventHandle readable_;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
  std::uint64_t nextNumber_ = 1;
  std::size_t inputBytes_ = 0;
  RequestQueue streamRequests_;
  RequestQueue datagramRequests_;
  bool isDatagramsTurn_ = false;
  std::string datagram_;  // receive buffer
  std::uint64_t droppedDatagrams_ = 0;
  std::uint64_t droppedNotYetLogged_ = 0;
  Micros dropsLoggedAt_ = 0;
  net::Timer makeRoomTimer_;
  net::Timer work_;
  net::Timer cleaner_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace peargrade::zone_server
