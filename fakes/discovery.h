// Fake for discovery, written from its public page. It runs on a loop that the caller owns and can be
// told to misbehave.
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

// Discovery: the whole list and a watch, over HTTP.
class Discovery {
 public:
  explicit Discovery(event_base* base, const std::string& host = "127.0.0.1", std::uint16_t port = 0);
  net::Address address() const { return address_; }

  std::int64_t rev = 0;
  // Lists a server or changes what is listed of it; those who watch are told.
  void set(const std::string& uid, const std::string& az, const std::string& state, std::int64_t bootMs = 0,
           const std::string& endpoint = "10.1.0.1:3000");
  std::string list(std::int64_t since) const;  // one object; 0: the whole list

  // ---- Misbehaviour ----
  std::deque<int> statuses;            // of the next answers in place of 200
  bool mute = false;                   // takes requests and never answers
  bool emptyLines = true;              // to those who watch, every 2 s
  void raw(const std::string& bytes);  // to all who watch
  void endWatches();                   // in order
  void breakWatches();                 // with a reset

  // ---- What was seen ----
  std::vector<std::string> requests;  // their targets
  std::size_t watching() const { return watches_.size(); }
  std::size_t held() const { return entries_.size(); }  // entries, those that have gone among them
  std::function<void()> onWatch;                        // a watch has begun
  Traffic in, out;  // by kind: request; whole, changes, empty. Bytes without HTTP's framing
  std::uint64_t wireIn = 0, wireOut = 0;  // bytes on all connections, with HTTP's framing
  std::size_t unsentMost = 0;             // that one watch had waiting at the most, in bytes

 private:
  static void onRequest(evhttp_request* request, void* self);
  static bufferevent* onAccept(event_base* base, void* self);
  static void onClose(evhttp_connection* connection, void* self);

  net::Address address_;
  std::map<evhttp_connection*, evhttp_request*> watches_, muted_;  // before http_, whose end calls onClose
  std::unique_ptr<evhttp, net::Freed<evhttp_free>> http_;
  struct Entry {
    std::int64_t rev;
    std::string json;
    bool gone;
  };
  std::map<std::string, Entry> entries_;
  net::Timer empty_;
};

}  // namespace peargrade::fakes
