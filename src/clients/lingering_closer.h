/// Lingering close of rejected connections.
#pragma once

#include <list>
#include <memory>

#include "net/stream.h"
#include "peargrade/types.h"

namespace peargrade::clients {

/// Keeps half-closed streams open and discards their input until the peer closes. A close with unread input
/// would send a TCP reset, which may destroy the rejection before the peer reads it. Bounded per stream in
/// time and in bytes. Used by ReportServer on the event loop's thread.
class LingeringCloser {
 public:
  /// `duration`: microseconds that a stream may linger. `inputBytes`: input discarded per stream.
  LingeringCloser(Micros duration, std::size_t inputBytes) : duration_(duration), inputBytes_(inputBytes) {}

  /// Takes a stream whose own half is closed.
  void add(std::unique_ptr<net::Stream> stream, Micros now);
  /// Closes the streams that have lingered longer than allowed.
  void closeExpired(Micros now);
  /// Closes the stream that was added first. There must be one.
  void closeOldest() { streams_.pop_front(); }

  std::size_t size() const { return streams_.size(); }
  bool empty() const { return streams_.empty(); }

 private:
  struct LingeringStream {
    std::unique_ptr<net::Stream> stream;
    Micros since = 0;
    std::size_t inputBytesLeft = 0;
  };

  Micros duration_;
  std::size_t inputBytes_;
  std::list<LingeringStream> streams_;  // in the order they were added
};

}  // namespace peargrade::clients
