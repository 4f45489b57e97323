#include "clients/lingering_closer.h"

#include <algorithm>

namespace peargrade::clients {

void LingeringCloser::add(std::unique_ptr<net::Stream> stream, Micros now) {
  streams_.push_back({std::move(stream), now, inputBytes_});
  const auto entry = std::prev(streams_.end());
  net::Stream::Handlers handlers;
  handlers.data = [this, entry](evbuffer* input) {
    const std::size_t size = evbuffer_get_length(input);
    evbuffer_drain(input, size);
    entry->inputBytesLeft -= std::min(entry->inputBytesLeft, size);
    if (entry->inputBytesLeft == 0) streams_.erase(entry);
  };
  handlers.end = [this, entry](log::CloseReason, const std::string&) { streams_.erase(entry); };
  entry->stream->setHandlers(std::move(handlers));
}

void LingeringCloser::closeExpired(Micros now) {
  while (!streams_.empty() && now - streams_.front().since > duration_) streams_.pop_front();
}

}  // namespace peargrade::clients
