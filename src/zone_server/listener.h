// Takes messages in over UDP and TCP at one address and carries answers back; it reads nothing of them.
// Bounded in connections, bytes and messages a turn, so that a flood costs those who flood.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "log/log.h"
#include "net/net.h"

namespace peargrade::zone_server {

// One address, UDP and TCP (length prefix: RFC 1035, section 4.2.2). Throws std::runtime_error where the
// address cannot be had.
class Listener {
 public:
  using Reply = std::function<void(const std::string&)>;  // once at most; nothing where the peer has gone
  using Taken = std::function<void(const std::string& message, const std::string& peer, Reply reply)>;
  struct Limits {
    std::size_t connections = 64;
    Micros idle = 10000000;  // a connection without a message
    std::size_t unsent = 65536;
    int perTurn = 64;  // datagrams before others have their turn
  };

  Listener(event_base* base, const net::Address& at, Taken taken, log::Log& log, Limits limits);
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
    std::string input, name;
    net::IdleTimeout idle;
    bool over = false;
  };
  void onDatagrams();
  void accept(evutil_socket_t fd, const std::string& name);
  void onData(Peer& peer, evbuffer* input);
  void answer(std::uint64_t number, const std::string& bytes);
  void end(Peer& peer, log::CloseReason reason, const std::string& detail);

  event_base* base_;
  net::Address address_;
  Taken taken_;
  log::Log& log_;
  const Limits limits_;
  evutil_socket_t udp_ = -1;
  net::EventHandle readable_;
  net::ListenerHandle tcp_;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
  std::uint64_t next_ = 1;
  net::Timer cleaner_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace peargrade::zone_server
