// The client side: the listener at the supervisor's address, its heartbeats and the collectors' reports.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "clients/framing.h"
#include "clients/messages.h"
#include "exchange/exchange.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::clients {

class Clients {
 public:
  struct Limits {
    std::size_t connections = 900;  // more: the stranger that has been silent longest gives way
    std::size_t held = 24 << 20;    // bytes of unfinished messages, over all connections
    std::size_t unsent = 64 << 10;  // replies that a peer does not read
    Micros stranger = 10000000;     // to say something of use
    Micros silence = 60000000;  // a collector or prober that says nothing; their page names no sign of life
    Micros sweep = 1000000;     // ages are looked at so often
  };
  // Throws std::runtime_error when the address cannot be listened on.
  Clients(event_base* base, const net::Address& address, const discovery::Names& names, int slices,
          exchange::Exchange& exchange, log::Log& log, Limits limits);
  ~Clients();

  std::size_t connections() const { return peers_.size(); }
  // Where it listens; the port is the system's choice if the address left it open.
  const net::Address& address() const { return address_; }

 private:
  struct Peer {
    std::string name;
    std::unique_ptr<net::Stream> stream;
    Framing framing;
    const char* role = "stranger";
    bool known = false;
    int heartbeats = 0;  // not answered yet
    Micros heardAt = 0;
    std::size_t counted = 0;  // its part of held_
  };
  using At = std::list<Peer>::iterator;

  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self);
  static void onAcceptError(evconnlistener*, void* self);
  void accept(evutil_socket_t fd, const std::string& name);
  void onData(At peer, evbuffer* input);
  bool onMessage(At peer, const Message& message);
  bool answer(At peer);  // false: the peer is gone
  void end(At peer, log::Reason reason, const std::string& detail);
  void count(At peer);
  void makeRoom();
  void sweep();

  event_base* base_;
  net::Address address_;
  const discovery::Names& names_;
  int slices_;
  exchange::Exchange& exchange_;
  log::Log& log_;
  Limits limits_;
  std::list<Peer> peers_;
  std::size_t held_ = 0;
  net::ListenerHandle listener_;
  net::Timer sweeper_, resume_;
};

}  // namespace peargrade::clients
