// Fake client of the report server (a collector or health checker), written from the protocol's public
// documentation.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/net.h"

namespace peargrade::fakes {

/// Connects to a supervisor and exchanges length-prefixed messages.
class Collector {
 public:
  Collector(event_base* base, const net::Address& to);
  /// Sends one message: `body` with its length before it. Queued until the connection is established.
  void send(const std::string& body);
  /// Sends bytes without a length prefix.
  void sendRaw(const std::string& bytes);
  bool up() const { return stream_ && stream_->up(); }
  /// Whether the connection has ended, by either side.
  bool ended() const { return !stream_; }
  void close() { stream_.reset(); }
  /// Bytes that have not been passed to the kernel yet.
  std::size_t unsent() const { return stream_ && stream_->up() ? stream_->unsent() : queued_.size(); }

  /// Bodies of the received messages, without their lengths.
  std::vector<std::string> received;

 private:
  std::unique_ptr<net::Stream> stream_;
  std::string input_;
  /// Bytes to send once the connection is established.
  std::string queued_;
};

}  // namespace peargrade::fakes
