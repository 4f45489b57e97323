// The server side's view of discovery: the whole list by GET and its changes by a chunked watch, over evhttp.
#pragma once

#include <event2/http.h>

#include <functional>
#include <list>
#include <memory>

#include "discovery/catalog.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/line_splitter.h"
#include "net/net.h"

namespace peargrade::discovery {

class Discovery {
 public:
  struct Limits {
    // An empty line comes every 2 s, and what discovery has to tell counts as told after 6 s: silence must be
    // noticed, and the watch be back, within that. Bytes that end no line are silence as well.
    Micros silence = 3000000;
    Micros slowest = 12000000;  // up to here the limit on a first line or a whole list grows while bytes come
    Micros connect = 500000;    // a dial; discovery is near
    std::size_t line = 4 << 20;   // one object of the list
    std::size_t body = 16 << 20;  // one answer; a watch that has told so much is opened anew
    Micros redialLeast = 20000, redialMost = 250000;  // of a new address while the old one serves
  };
  Discovery(event_base* base, const net::Address& address, const Names& names, std::int64_t knownVersion,
            dispatch::Dispatcher& exchange, log::Log& log, Limits limits);
  ~Discovery();

  // Where what is told goes in place of the exchange: to those who make one list of several. With the address
  // and port of each entry.
  using Told = std::function<void(EndpointListUpdate, std::vector<std::string> endpoints)>;
  void setListener(Told told) { told_ = std::move(told); }

  // Discovery is at another address from now on: a watch that stands serves until the new one has told.
  void moveTo(const net::Address& address);

 private:
  using Kind = dispatch::Dispatcher::EndpointListRequest;
  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };
  struct Call {
    Call(Discovery& owner, Kind kind);

    Discovery& owner;
    const Kind kind;
    const net::Address to;
    net::LineSplitter lines;
    std::int64_t version;                                // that its objects build on
    bool over = false;                                   // waits only to be cleaned up
    log::CloseReason error = log::CloseReason::Refused;  // what libevent says of a call without an answer
    std::unique_ptr<evhttp_connection, ConnectionFree> connection;
    net::IdleTimeout connecting, whole;  // whole: a line of the watch, the answer to a fetch
  };

  void want(Kind kind);
  void begin(Kind kind);
  Call* serving();  // the first that is not over
  void onDialled(Call& call);
  void onSlow(Call& call);
  void onChunk(Call& call, evhttp_request* request);
  void onDone(Call& call, evhttp_request* request);
  void take(Call& call, const std::string& line);
  // Ends a call once libevent is out of its callbacks, with one Failed event if asked for and nothing else
  // serves.
  void finish(Call& call, log::CloseReason reason, const std::string& detail, bool failed);
  void cleanUp();

  event_base* base_;
  net::Address address_;
  const Names& names_;
  std::int64_t version_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  Limits limits_;
  Told told_;

  std::list<Call> calls_;  // the one that serves, and after a move its successor behind it
  bool watchNext_ = false, fetchNext_ = false;  // wanted once the call in hand is over
  Micros patience_;                             // with the first line of a watch, and with a whole list
  bool whole_ = false;                          // ask for the whole list: what is known here no longer fits
  net::Backoff backoff_;
  net::Timer cleaner_, redial_;
};

}  // namespace peargrade::discovery
