#include "zone_server/request_queue.h"

#include <algorithm>
#include <utility>

namespace peargrade::zone_server {

bool RequestQueue::accepts(const std::string& source, std::size_t bytes) const {
  if (size_ >= limits_.requests || bytes_ + bytes > limits_.bytes) return false;
  const auto it = bySource_.find(source);
  if (it == bySource_.end()) return true;
  const std::size_t ownRequests = it->second.waiting.size();
  const std::size_t ownBytes = it->second.bytes;
  // A source uses at most half of what the others leave.
  const std::size_t requests =
      std::min(limits_.requestsPerSource, (limits_.requests - (size_ - ownRequests)) / 2);
  const std::size_t mostBytes = std::min(limits_.bytesPerSource, (limits_.bytes - (bytes_ - ownBytes)) / 2);
  return ownRequests < requests && ownBytes + bytes <= mostBytes;
}

bool RequestQueue::push(const std::string& source, Request request) {
  const std::size_t bytes = request.message.size();
  if (!accepts(source, bytes)) return false;
  Requests& requests = bySource_[source];
  if (requests.waiting.empty()) turns_.push_back(source);
  ++size_;
  bytes_ += bytes;
  requests.bytes += bytes;
  requests.waiting.push_back(std::move(request));
  return true;
}

std::optional<Request> RequestQueue::pop() {
  if (turns_.empty()) return std::nullopt;
  const std::string source = std::move(turns_.front());
  turns_.pop_front();
  const auto it = bySource_.find(source);
  Request request = std::move(it->second.waiting.front());
  it->second.waiting.pop_front();
  --size_;
  bytes_ -= request.message.size();
  it->second.bytes -= request.message.size();
  if (it->second.waiting.empty())
    bySource_.erase(it);
  else
    turns_.push_back(source);
  return request;
}

void RequestQueue::forget(const std::string& source) {
  const auto it = bySource_.find(source);
  if (it == bySource_.end()) return;
  bytes_ -= it->second.bytes;
  size_ -= it->second.waiting.size();
  bySource_.erase(it);
  turns_.erase(std::find(turns_.begin(), turns_.end(), source));
}

std::size_t RequestQueue::sizeOf(const std::string& source) const {
  const auto it = bySource_.find(source);
  return it == bySource_.end() ? 0 : it->second.waiting.size();
}

}  // namespace peargrade::zone_server
