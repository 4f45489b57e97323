// Fake for a collector or prober, written from the public page of the protocol.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/net.h"

namespace peargrade::fakes {

// A collector or prober: dials the supervisor's address and sends frames.
class Collector {
 public:
  Collector(event_base* base, const net::Address& to);
  void send(const std::string& body);  // one message
  void sendRaw(const std::string& bytes);
  bool up() const { return stream_ && stream_->up(); }
  bool ended() const { return !stream_; }
  void close() { stream_.reset(); }
  std::size_t unsent() const { return stream_ && stream_->up() ? stream_->unsent() : early_.size(); }

  std::vector<std::string> received;  // bodies

 private:
  std::unique_ptr<net::Stream> stream_;
  std::string input_, early_;
};

}  // namespace peargrade::fakes
