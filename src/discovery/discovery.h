// The server side's view of discovery: the whole list by GET and its changes by a chunked watch, over evhttp.
#pragma once

#include <event2/http.h>

#include <memory>

#include "discovery/catalog.h"
#include "exchange/exchange.h"
#include "log/log.h"
#include "net/lines.h"
#include "net/net.h"

namespace peargrade::discovery {

class Discovery {
 public:
  struct Limits {
    Micros silence = 5000000;     // an empty line comes every 2 s
    std::size_t line = 4 << 20;   // one object of the list
    std::size_t body = 16 << 20;  // one answer; a watch that has told so much is opened anew
  };
  Discovery(event_base* base, const net::Address& address, const Names& names, std::int64_t knownVersion,
            exchange::Exchange& exchange, log::Log& log, Limits limits);
  ~Discovery();

 private:
  using Call = exchange::Exchange::ListCall;
  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };

  void want(Call call);
  void begin(Call call);
  void onChunk(evhttp_request* request);
  void onDone(evhttp_request* request);
  void take(const std::string& line);
  // Ends the call in hand once libevent is out of its callbacks, with one Failed event if asked for.
  void finish(log::Reason reason, const std::string& detail, bool failed);
  void cleanUp();

  event_base* base_;
  net::Address address_;
  const Names& names_;
  std::int64_t version_;
  exchange::Exchange& exchange_;
  log::Log& log_;
  Limits limits_;

  std::unique_ptr<evhttp_connection, ConnectionFree> connection_;  // one call at a time
  Call current_ = Call::Fetch;
  bool over_ = false;                           // the call in hand waits only to be cleaned up
  log::Reason error_ = log::Reason::Refused;    // what libevent says of a call without an answer
  bool watchNext_ = false, fetchNext_ = false;  // wanted once the call in hand is over
  bool whole_ = false;                          // ask for the whole list: what is known here no longer fits
  net::Lines lines_;
  net::Timer cleaner_;
};

}  // namespace peargrade::discovery
