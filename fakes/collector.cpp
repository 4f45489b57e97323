#include "fakes/collector.h"

#include <utility>

namespace peargrade::fakes {

Collector::Collector(event_base* base, const net::Address& to) {
  net::Stream::Handlers handlers;
  handlers.up = [this] { stream_->send(std::exchange(queued_, "")); };
  handlers.data = [this](evbuffer* input) {
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    input_ += bytes;
    while (input_.size() >= 4) {
      std::size_t length = 0;
      for (int k = 0; k < 4; ++k) length = length << 8 | static_cast<unsigned char>(input_[k]);
      if (input_.size() < 4 + length) break;
      received.push_back(input_.substr(4, length));
      input_.erase(0, 4 + length);
    }
  };
  handlers.end = [this](log::CloseReason, const std::string&) { stream_.reset(); };
  stream_ = std::make_unique<net::Stream>(base, to, 1000000, std::move(handlers));
}

void Collector::send(const std::string& body) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(body.size() >> shift & 255));
  sendRaw(bytes + body);
}

void Collector::sendRaw(const std::string& bytes) {
  if (!stream_) return;
  if (stream_->up())
    stream_->send(bytes);
  else
    queued_ += bytes;
}

}  // namespace peargrade::fakes
