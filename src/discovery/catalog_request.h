/// One HTTP request to discovery over evhttp: a poll of the endpoint list, or a watch of its changes.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "discovery/limits.h"
#include "log/close_reason.h"
#include "net/line_splitter.h"
#include "net/net.h"

namespace peargrade::discovery {

/// A request and the connection of its own that it runs on. Reports the JSON objects of the response and how
/// it failed; knows nothing of their content.
class CatalogRequest {
 public:
  enum class Kind {
    Poll,   // the full list, once
    Watch,  // a line for each change, until the connection ends
  };
  /// What a watch begins with.
  enum class WatchStart { ChangesSinceVersion, FullList };
  struct Query {
    Kind kind = Kind::Poll;
    WatchStart watchStart = WatchStart::ChangesSinceVersion;
    /// Version of the list that is known; a watch asks for the changes since then.
    std::int64_t version = 0;
  };

  /// Called from the event loop. A handler may close the request but not destroy it: libevent still uses its
  /// connection until the handler has returned.
  struct Handlers {
    /// A complete JSON object: a line of a watch, or the body of a poll.
    std::function<void(CatalogRequest&, const std::string& json)> object;
    /// The response to a poll is complete; `object` has been called and has not closed the request.
    std::function<void(CatalogRequest&)> polled;
    /// The next object did not arrive in time.
    std::function<void(CatalogRequest&)> timedOut;
    /// The connection failed, or the response is not one of discovery's.
    std::function<void(CatalogRequest&, log::CloseReason, const std::string& detail)> failed;
  };

  /// `limits` outlives the request. `firstObjectTimeout` in microseconds: for the first line of a watch or
  /// for the whole response to a poll.
  CatalogRequest(event_base* base, const net::Address& address, const Query& query, const Limits& limits,
                 Micros firstObjectTimeout, Handlers handlers);
  CatalogRequest(const CatalogRequest&) = delete;
  CatalogRequest& operator=(const CatalogRequest&) = delete;

  /// Connects and sends the request; `failed` may be called before it returns.
  void send();
  /// Nothing is reported from now on. The connection ends when the request is destroyed.
  void close();

  bool closed() const { return closed_; }
  Kind kind() const { return query_.kind; }
  const net::Address& address() const { return address_; }
  /// Version of the list that the next delta of this response builds on.
  std::int64_t baseVersion() const { return baseVersion_; }
  void setBaseVersion(std::int64_t version) { baseVersion_ = version; }

 private:
  struct FreeConnection {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
  };

  void openConnection();
  evhttp_request* makeRequest();
  std::string path() const;
  void checkConnected();
  void readWatch(evhttp_request* request);
  void complete(evhttp_request* request);
  void fail(log::CloseReason reason, const std::string& detail);

  event_base* base_;
  const net::Address address_;
  const Query query_;
  const Limits& limits_;
  const Micros firstObjectTimeout_;
  const Handlers handlers_;

  net::LineSplitter lines_;
  std::int64_t baseVersion_;
  bool closed_ = false;
  log::CloseReason connectionError_ =
      log::CloseReason::Refused;  // as libevent reports it, for a request without response
  std::unique_ptr<evhttp_connection, FreeConnection> connection_;
  net::IdleTimeout connectTimeout_;
  net::IdleTimeout objectTimeout_;
};

}  // namespace peargrade::discovery
