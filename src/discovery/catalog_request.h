/// One HTTP request to the discovery service over evhttp: a poll of the endpoint list or a watch of its
/// changes.
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

/// An HTTP request with its own connection. Passes each JSON object of the response to a handler without
/// parsing it, and reports timeouts and failures.
class CatalogRequest {
 public:
  enum class Kind {
    Poll,   // one response with the full list
    Watch,  // a streamed response with one line per change, until the connection closes
  };
  /// Content of the first object of a watch.
  enum class WatchStart { ChangesSinceVersion, FullList };
  struct Query {
    Kind kind = Kind::Poll;
    WatchStart watchStart = WatchStart::ChangesSinceVersion;
    /// Version of the locally known list. A watch requests the changes since this version.
    std::int64_t version = 0;
  };

  /// Called from the event loop. A handler may close the request but must not destroy it: libevent uses the
  /// connection until the handler returns.
  struct Handlers {
    /// Receives a complete JSON object: a line of a watch or the body of a poll.
    std::function<void(CatalogRequest&, const std::string& json)> onObject;
    /// The response to a poll is complete. Called after `onObject`, unless `onObject` closed the request.
    std::function<void(CatalogRequest&)> onPollCompleted;
    /// The next complete line or response did not arrive within the timeout.
    std::function<void(CatalogRequest&)> onTimeout;
    /// The connection failed, or the response is invalid.
    std::function<void(CatalogRequest&, log::CloseReason, const std::string& detail)> onFailure;
  };

  /// `limits` must outlive the request. `firstObjectTimeout`, in microseconds, applies to the first line of a
  /// watch and to the complete response to a poll.
  CatalogRequest(event_base* base, const net::Address& address, const Query& query, const Limits& limits,
                 Micros firstObjectTimeout, Handlers handlers);
  CatalogRequest(const CatalogRequest&) = delete;
  CatalogRequest& operator=(const CatalogRequest&) = delete;

  /// Connects and sends the request. May call `onFailure` before it returns.
  void send();
  /// Suppresses all further handler calls. The destructor closes the connection.
  void close();

  bool closed() const { return closed_; }
  Kind kind() const { return query_.kind; }
  const net::Address& address() const { return address_; }
  /// Version of the list to which the next delta of this response applies.
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
  void readWatchLines(evhttp_request* request);
  void handleResponse(evhttp_request* request);
  void reportFailure(log::CloseReason reason, const std::string& detail);

  event_base* base_;
  const net::Address address_;
  const Query query_;
  const Limits& limits_;
  const Micros firstObjectTimeout_;
  const Handlers handlers_;

  net::LineSplitter lines_;
  std::int64_t baseVersion_;
  bool closed_ = false;
  /// Last error that libevent reported, or Refused. Used when a request ends without a response.
  log::CloseReason connectionError_ = log::CloseReason::Refused;
  std::unique_ptr<evhttp_connection, FreeConnection> connection_;
  net::IdleTimeout connectTimeout_;
  net::IdleTimeout objectTimeout_;
};

}  // namespace peargrade::discovery
