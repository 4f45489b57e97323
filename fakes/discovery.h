// Fake discovery service, written from the protocol's public documentation. It runs on an event loop that
// the caller owns and injects faults on request.
#pragma once

#include <event2/http.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/traffic.h"
#include "net/net.h"

namespace peargrade::fakes {

/// Serves the complete endpoint list and watches over HTTP.
class Discovery {
 public:
  explicit Discovery(event_base* base, const std::string& host = "127.0.0.1", std::uint16_t port = 0);
  net::Address address() const { return address_; }

  std::int64_t rev = 0;
  /// Adds or changes an endpoint and sends the change to all watches.
  void set(const std::string& uid, const std::string& az, const std::string& state, std::int64_t bootMs = 0,
           const std::string& endpoint = "10.1.0.1:3000");
  /// The changes after revision `since` as one JSON object; 0: the complete list.
  std::string list(std::int64_t since) const;

  // ---- Injected faults ----

  /// HTTP status codes of the next responses, one each, in place of 200.
  std::deque<int> statuses;
  /// Accepts requests and never responds.
  bool mute = false;
  /// Sends an empty line to each watch every 2 s, as a keep-alive.
  bool emptyLines = true;
  /// Sends these bytes to all watches.
  void raw(const std::string& bytes);
  /// Completes the response of each watch.
  void endWatches();
  /// Resets the connection of each watch.
  void breakWatches();

  // ---- Observed traffic ----

  /// Request targets (path and query), in order of arrival.
  std::vector<std::string> requests;
  std::size_t watching() const { return watches_.size(); }
  /// Number of stored entries, including those of removed servers.
  std::size_t held() const { return entries_.size(); }
  /// Called when a watch has started.
  std::function<void()> onWatch;
  /// Received messages (kind: request), without HTTP framing.
  Traffic in;
  /// Sent messages (kinds: whole, changes, empty), without HTTP framing.
  Traffic out;
  /// Bytes received on all connections, with HTTP framing.
  std::uint64_t wireIn = 0;
  /// Bytes sent on all connections, with HTTP framing.
  std::uint64_t wireOut = 0;
  /// Largest number of unsent bytes that a single watch has had.
  std::size_t unsentMost = 0;

 private:
  static void onRequest(evhttp_request* request, void* self);
  static bufferevent* onAccept(event_base* base, void* self);
  static void onClose(evhttp_connection* connection, void* self);

  net::Address address_;
  // Declared before http_, whose destruction calls onClose().
  std::map<evhttp_connection*, evhttp_request*> watches_;
  std::map<evhttp_connection*, evhttp_request*> muted_;
  std::unique_ptr<evhttp, net::Freed<evhttp_free>> http_;
  struct Entry {
    std::int64_t rev;
    std::string json;
    bool removed;
  };
  std::map<std::string, Entry> entries_;
  net::Timer emptyLineTimer_;
};

}  // namespace peargrade::fakes
