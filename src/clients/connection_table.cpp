#include "clients/connection_table.h"

#include <algorithm>

namespace peargrade::clients {
namespace {

// Limits the cost of one search: each check for unread input is a system call.
constexpr int kUnreadInputChecksMax = 32;

}  // namespace

ConnectionTable::Iterator ConnectionTable::add(const std::string& peer, Micros now) {
  connections_.emplace_back();
  const Iterator connection = std::prev(connections_.end());
  connection->peer = peer;
  connection->acceptedAt = now;
  connection->lastActivity = now;
  return connection;
}

void ConnectionTable::remove(Iterator connection) {
  bufferedBytes_ -= connection->bufferedBytes;
  connections_.erase(connection);
}

void ConnectionTable::updateBufferedBytes(Iterator connection) {
  const std::size_t bytes = connection->decoder.bufferedBytes();
  bufferedBytes_ += bytes - connection->bufferedBytes;
  connection->bufferedBytes = bytes;
}

ConnectionTable::Iterator ConnectionTable::evictionCandidate() {
  const Iterator unidentified = oldest(Role::Unidentified);
  if (unidentified != end()) return unidentified;
  const Iterator healthChecker = oldest(Role::HealthChecker);
  if (healthChecker != end()) return healthChecker;
  return std::min_element(begin(), end(), [](const Connection& a, const Connection& b) {
    return a.lastActivity < b.lastActivity;
  });
}

ConnectionTable::Iterator ConnectionTable::oldest(Role role) {
  Iterator fallback = end();
  int checks = 0;
  for (Iterator connection = begin(); connection != end() && checks < kUnreadInputChecksMax; ++connection) {
    if (connection->role != role || connection->stream == nullptr) continue;
    if (fallback == end()) fallback = connection;
    if (role != Role::Unidentified) return connection;
    if (connection->stream->waiting() != net::Stream::Waiting::Bytes) return connection;
    ++checks;
  }
  return fallback;
}

ConnectionTable::Iterator ConnectionTable::largestBuffer() {
  return std::max_element(begin(), end(), [](const Connection& a, const Connection& b) {
    return a.bufferedBytes < b.bufferedBytes;
  });
}

std::size_t ConnectionTable::count(Role role) const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [role](const Connection& c) { return c.role == role; }));
}

}  // namespace peargrade::clients
