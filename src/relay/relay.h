// The server side's view of the relay: one connection for the news, one for the calls, each dialled anew when
// it ends.
#pragma once

#include <deque>
#include <memory>

#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/line_splitter.h"
#include "net/net.h"
#include "relay/calls.h"
#include "relay/newsbook.h"

namespace peargrade::relay {

class Relay {
 public:
  struct Limits {
    Micros connect = 250000;       // a dial; the relay is near
    Micros newsSilence = 2500000;  // a sign of life comes every 1 s
    Micros answer = 150000;        // an answer comes within 50 ms or never
    Micros throttled = 100000;     // wait after a throttled call
    Micros gather = 20000;         // a slice and its lines are handed on together once the news pause so long
    Micros gatherMost = 200000;    // but not later than this
    Micros redialLeast = 20000, redialMost = 250000;
    Micros settleAfter = 300000;  // what stands has been repeated at the first sign of life after this
    std::size_t line = 4096;      // longest line of the relay
    std::size_t orders = 50000;   // that wait; beyond it the oldest are lost
  };
  Relay(event_base* base, const net::Address& address, const Names& names, int slices, std::uint64_t seed,
        dispatch::Dispatcher& exchange, log::Log& log, Limits limits);
  ~Relay();
  const Calls::Counts& counts() const { return calls_.counts(); }
  // A call is under way, or orders wait for one.
  bool busy() const { return calls_.inCall() || (calls_.waiting() > 0 && !calls_.missed()); }

  // The relay is at another address from now on: the news and the connection for calls that stand serve until
  // the news have come up there.
  void moveTo(const net::Address& address);

 private:
  struct Watch {
    Watch(Relay& owner, const net::Address& at);
    const net::Address at;
    net::LineSplitter lines;
    net::IdleTimeout silence;
    std::unique_ptr<net::Stream> stream;
  };
  void dialNews();
  void onNews(Watch& watch, evbuffer* input);
  bool onNewsLine(Watch& watch, const std::string& line);  // false: the watch is gone
  bool onNewsOpen(Watch& watch, const std::string& line);
  void endNews(Watch& watch, log::CloseReason reason, const std::string& detail);
  void handOn();

  void order(const dispatch::Dispatcher::TableUpdate& actions);
  void tell();
  void push();
  void onAnswer(evbuffer* input);
  void leaveLine();
  void endCalls(log::CloseReason reason, const std::string& detail);

  event_base* base_;
  net::Address address_;
  const Names& names_;
  int slices_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  Limits limits_;

  std::unique_ptr<Watch> news_, coming_, gone_;  // WATCH has been answered; not yet; over
  Micros openedAt_ = 0;
  NewsBook book_;
  std::vector<Event> held_;  // not yet handed on
  Micros heldSince_ = 0;
  std::uint64_t unusable_ = 0;  // answers to marks that were left out
  net::Backoff newsBackoff_;
  net::Timer newsRedial_, gather_;

  std::unique_ptr<net::Stream> line_;  // for the calls
  net::Address lineAt_;
  bool lineServed_ = false;  // it has brought an answer
  net::LineSplitter answers_;
  Calls calls_;
  net::Backoff callBackoff_;
  net::Timer callRedial_;
  net::IdleTimeout answerLimit_;
};

}  // namespace peargrade::relay
