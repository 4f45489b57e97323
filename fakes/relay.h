// Fake for the relay, written from its public page. It runs on a loop that the caller owns and can be
// told to misbehave.
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

// The relay and its store: WATCH and APPLY over lines of text.
class Relay {
 public:
  explicit Relay(event_base* base, const std::string& host = "127.0.0.1", std::uint16_t port = 0);
  net::Address address() const { return address_; }

  // ---- What stands ----
  struct Proxy {
    std::string az;
    double share = 1;
    bool standing = true;
  };
  std::map<int, Proxy> proxies;
  std::map<int, std::map<std::string, std::string>> slices;  // in the supervisor's charge: lines with weights
  std::set<std::string> servers;  // that discovery has listed; empty: all names are good

  void attach(int proxy, const Proxy& how);
  void detach(int proxy);
  void give(int slice, const std::map<std::string, std::string>& lines);
  void take(int slice);
  void done(int proxy, int mark, double lagMs);
  void raw(const std::string& bytes);  // to all who watch
  void life() { tell("life", "*\r\n"); }

  // ---- Misbehaviour ----
  enum class Fault {
    None,
    BreakBefore,  // resets the connection, nothing is carried out
    BreakAfter,   // carries the call out, then resets the connection
    Silent,       // no answer, nothing is carried out
    Held,         // carries the call out; its answer waits for answerHeld()
    Garbage,      // carries the call out, the answer cannot be read
    Throttled,
    Invalid,
  };
  std::deque<Fault> faults;  // of the next calls, one each
  void answerHeld();
  bool lifeSigns = true;  // one a second on its own
  bool muteNews = false;  // connections stay open and nothing comes
  void breakNews();       // resets the connections that watch
  void closeCalls();      // closes the others in order
  void refuse(bool on);   // stops listening, or listens again

  // ---- What was seen ----
  bool keep = true;                 // whether calls and orders below are kept; they grow with each call
  std::vector<std::string> calls;   // the orders of each call that arrived
  std::vector<std::string> orders;  // each order taken, in sequence
  int watches = 0;                  // WATCH lines
  int dials = 0;
  std::size_t open() const { return peers_.size(); }
  std::function<void(const std::string& order)> onOrder;
  std::function<void(const std::string& orders)> onCall;  // carried out, before it is answered
  // By kind. In: watch, apply, unknown. Out: answer, standing, attach, detach, owner, done, life, other.
  Traffic in, out;
  std::size_t unsentMost = 0;  // that one connection had waiting at the most, in bytes

 private:
  struct Peer {
    std::unique_ptr<net::Stream> stream;
    net::LineSplitter lines{70000};
    std::string held;  // an answer
    bool watching = false;
  };
  using At = std::list<Peer>::iterator;
  void listen();
  void accept(evutil_socket_t fd);
  void onLine(At peer, const std::string& line, bool& gone);
  std::size_t carryOut(const std::string& orders);
  bool carryOutOne(const std::string& order);
  std::string standing() const;
  void say(Peer& peer, const char* kind, const std::string& bytes, std::uint64_t messages = 1);
  void tell(const char* kind, const std::string& bytes);  // to all who watch

  event_base* base_;
  net::Address address_;
  std::list<Peer> peers_;
  std::map<At, evutil_socket_t, bool (*)(At, At)> fds_{[](At a, At b) { return &*a < &*b; }};
  net::ListenerHandle listener_;
  net::Timer life_;
};

}  // namespace peargrade::fakes
