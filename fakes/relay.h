// Fake relay, written from the protocol's public documentation. It runs on an event loop that the caller owns
// and injects faults on request.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/traffic.h"
#include "net/line_splitter.h"
#include "net/net.h"

namespace peargrade::fakes {

/// The relay and its store. Clients send the lines WATCH and APPLY.
class Relay {
 public:
  explicit Relay(event_base* base, const std::string& host = "127.0.0.1", std::uint16_t port = 0);
  net::Address address() const { return address_; }

  // ---- Stored state ----

  struct Proxy {
    std::string az;
    double share = 1;
    bool standing = true;  // a new incarnation that holds no published routes
  };
  /// Connected proxies by id.
  std::map<int, Proxy> proxies;
  /// Routes of the slices assigned to the supervisor: weights by server.
  std::map<int, std::map<std::string, std::string>> slices;
  /// Servers listed by discovery; if empty, every server name is accepted.
  std::set<std::string> servers;

  /// Each changes the stored state and sends the watch event.
  void attach(int proxy, const Proxy& how);
  void detach(int proxy);
  void give(int slice, const std::map<std::string, std::string>& lines);
  void take(int slice);
  /// Sends the acknowledgement of an update by a proxy.
  void done(int proxy, int mark, double lagMs);
  /// Sends these bytes to all watches.
  void raw(const std::string& bytes);
  /// Sends a heartbeat to all watches.
  void life() { broadcast("life", "*\r\n"); }

  // ---- Injected faults ----

  enum class Fault {
    None,
    BreakBefore,  // resets the connection without executing the call
    BreakAfter,   // executes the call, then resets the connection
    Silent,       // neither executes nor answers the call
    Held,         // executes the call and delays the answer until answerHeld()
    Garbage,      // executes the call and sends a malformed answer
    Throttled,    // rejects the call as throttled
    Invalid,      // rejects the call as invalid
  };
  /// Faults of the next calls, one each.
  std::deque<Fault> faults;
  /// Sends the answers delayed by Fault::Held.
  void answerHeld();
  /// Sends a heartbeat every second.
  bool lifeSigns = true;
  /// Keeps watches open but sends no events.
  bool muteNews = false;
  /// Resets the connections of all watches.
  void breakNews();
  /// Closes all other connections gracefully.
  void closeCalls();
  /// Stops listening, or listens again at the same address.
  void refuse(bool on);

  // ---- Observed traffic ----

  /// Whether `calls` and `orders` are recorded; they grow with each call.
  bool keep = true;
  /// The commands of each call, as received.
  std::vector<std::string> calls;
  /// Each accepted command, in order.
  std::vector<std::string> orders;
  /// Number of WATCH lines received.
  int watches = 0;
  /// Number of accepted connections.
  int dials = 0;
  /// Number of open connections.
  std::size_t open() const { return peers_.size(); }
  /// Called for each accepted command.
  std::function<void(const std::string& order)> onOrder;
  /// Called for each executed call, before it is answered.
  std::function<void(const std::string& orders)> onCall;
  /// Received messages (kinds: watch, apply, unknown).
  Traffic in;
  /// Sent messages (kinds: answer, standing, attach, detach, owner, done, life, other).
  Traffic out;
  /// Largest number of unsent bytes that a single connection has had.
  std::size_t unsentMost = 0;

 private:
  static constexpr std::size_t kMaxLineBytes = 70000;
  struct Peer {
    std::unique_ptr<net::Stream> stream;
    net::LineSplitter lines{kMaxLineBytes};
    std::string heldAnswer;
    bool watching = false;
  };
  using PeerPosition = std::list<Peer>::iterator;
  void listen();
  void accept(evutil_socket_t fd);
  // Sets `closed` if the connection was closed; `peer` is then invalid.
  void onLine(PeerPosition peer, const std::string& line, bool& closed);
  // Executes the commands up to the first invalid one and returns the number executed.
  std::size_t executeCall(const std::string& orders);
  bool executeCommand(const std::string& order);
  // The stored state as watch events.
  std::string snapshot() const;
  void send(Peer& peer, const char* kind, const std::string& bytes, std::uint64_t messages = 1);
  // Sends to all watches.
  void broadcast(const char* kind, const std::string& bytes);

  event_base* base_;
  net::Address address_;
  std::list<Peer> peers_;
  std::map<PeerPosition, evutil_socket_t, bool (*)(PeerPosition, PeerPosition)> fds_{
      [](PeerPosition a, PeerPosition b) { return &*a < &*b; }};
  net::ListenerHandle listener_;
  net::Timer heartbeatTimer_;
};

}  // namespace peargrade::fakes
