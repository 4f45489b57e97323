// The client side: the listener at the supervisor's address, its heartbeats and the collectors' reports.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "clients/framing.h"
#include "clients/messages.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::clients {

class ReportServer {
 public:
  struct Limits {
    std::size_t connections = 900;  // more: who has not joined gives way
    std::size_t held = 24 << 20;    // bytes of unfinished messages, over all connections
    std::size_t unsent = 64 << 10;  // replies that a peer does not read
    std::size_t first = 4096;       // a message of a peer that has not joined
    int unreadable = 3;             // frames in a row that are no JSON: the framing is lost
    // Ages: from the accept or the first byte of a message, so that a byte now and then does not prolong
    // them.
    Micros join = 1500000;      // without a joining or a heartbeat; the page grants 1 s
    Micros prober = 10000000;   // with heartbeats only
    Micros message = 1000000;   // from its first byte to its last
    Micros silence = 30000000;  // of a collector; its page names no sign of life
    // Of one that was turned away and goes on writing: read and left out, so that its end is no reset.
    Micros linger = 500000;
    std::size_t lingerBytes = 256 << 10;
    std::size_t acceptsATurn = 64;
    Micros sweep = 100000;  // ages are looked at so often
  };
  // Throws std::runtime_error when the address cannot be listened on.
  ReportServer(event_base* base, const net::Address& address, const discovery::Names& names, int slices,
               dispatch::Dispatcher& exchange, log::Log& log, Limits limits,
               std::function<Micros()> clock = net::steadyNow);
  ~ReportServer();

  std::size_t connections() const { return peers_.size(); }
  // Messages of collectors that came whole and could not be used.
  std::uint64_t skipped() const { return skipped_; }
  // Where it listens; the port is the system's choice if the address left it open.
  const net::Address& address() const { return address_; }
  // Ends who is over an age; runs by itself every Limits::sweep.
  void sweep();

 private:
  enum class Role { Stranger, Prober, Collector };
  struct Peer {
    std::string name;
    std::unique_ptr<net::Stream> stream;
    Framing framing;
    Role role = Role::Stranger;
    int heartbeats = 0;  // not answered yet
    int unreadable = 0;  // frames in a row
    Micros acceptedAt = 0, heardAt = 0;
    Micros begunAt = 0;       // the first byte of a message that is not whole yet; 0: none
    std::size_t counted = 0;  // its part of held_
  };
  using At = std::list<Peer>::iterator;  // in the order they came
  struct Leaving {                       // turned away and told so; its line has been written
    std::unique_ptr<net::Stream> stream;
    Micros since = 0;
    std::size_t left = 0;  // bytes that may still come
  };

  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self);
  static void onAcceptError(evconnlistener*, void* self);
  void accept(evutil_socket_t fd, const std::string& name);
  void onData(At peer, evbuffer* input);
  bool onFrame(At peer, const std::string& frame);  // false, here and below: the peer is gone
  bool onMessage(At peer, const Message& message);
  bool answer(At peer);
  void linger(std::unique_ptr<net::Stream> stream);
  bool turnAway(At peer, log::Reason reason, const std::string& detail);
  void skip(At peer, const std::string& what);
  void end(At peer, log::Reason reason, const std::string& detail);
  void count(At peer);
  void makeRoom();
  At oldest(Role role);

  event_base* base_;
  net::Address address_;
  const discovery::Names& names_;
  int slices_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  Limits limits_;
  std::function<Micros()> clock_;
  std::list<Peer> peers_;
  std::list<Leaving> leaving_;  // in the order they were turned away
  std::size_t accepted_ = 0;    // in this turn
  std::size_t held_ = 0;
  std::uint64_t skipped_ = 0, unsaid_ = 0;  // unsaid_: not in the log yet
  Micros saidAt_ = 0, sweptAt_ = 0;
  net::ListenerHandle listener_;
  net::Timer sweeper_, resume_, nextTurn_;
};

}  // namespace peargrade::clients
