// Requests that wait to be processed, served in turn by source.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace peargrade::zone_server {

/// Sends the answer to a request; called at most once. Has no effect if the answer is empty or the peer has
/// disconnected.
using Reply = std::function<void(const std::string&)>;

/// A DNS message that was received, with the address and port of its sender.
struct Request {
  std::string message;
  std::string peer;
  Reply reply;
};

/// Keeps a limited number of requests of each source and serves the sources round robin, so that a source
/// that sends at full speed delays the others by one request at a time. A source with requests in the queue
/// may use at most half of what the others leave.
class RequestQueue {
 public:
  struct Limits {
    std::size_t requestsPerSource = 16;
    std::size_t bytesPerSource = 64 << 10;  // one message is accepted whatever its size
    std::size_t requests = 4096;
    std::size_t bytes = std::size_t{4} << 20;  // of the messages
  };

  explicit RequestQueue(Limits limits) : limits_(limits) {}

  /// Whether a request of this size can be added.
  bool accepts(const std::string& source, std::size_t bytes) const;
  /// Adds a request. Returns false, and discards it, at a limit.
  bool push(const std::string& source, Request request);
  /// The next request, or nullopt if there is none.
  std::optional<Request> pop();
  /// Discards the requests of a source.
  void forget(const std::string& source);

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  std::size_t sizeOf(const std::string& source) const;

 private:
  struct Requests {
    std::deque<Request> waiting;
    std::size_t bytes = 0;
  };

  const Limits limits_;
  std::map<std::string, Requests> bySource_;
  /// Sources with requests, in the order in which they are served.
  std::deque<std::string> turns_;
  std::size_t size_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace peargrade::zone_server
