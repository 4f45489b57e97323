/// Lingering close of rejected connections.
#pragma once

#include <list>
#include <memory>

#include "net/stream.h"
#include "peargrade/types.h"

namespace peargrade::clients {

/// Keeps half-closed streams open and discards their input until the peer closes. Closing a socket that has
/// unread input sends a TCP reset, and the peer may then lose the rejection before it has read it. Each
/// stream is limited in time and in discarded bytes. ReportServer uses it on the event loop's thread.
class LingeringCloser {
 public:
  /// `duration`: maximum time that a stream lingers, in microseconds. `inputBytes`: maximum input discarded
  /// for a stream, in bytes. A stream that reaches either limit is closed.
  LingeringCloser(Micros duration, std::size_t inputBytes) : duration_(duration), inputBytes_(inputBytes) {}

  /// Takes ownership of a stream whose sending half is closed, and replaces its handlers.
  void add(std::unique_ptr<net::Stream> stream, Micros now);
  /// Closes the streams that have lingered longer than the duration limit.
  void closeExpired(Micros now);
  /// Closes the stream that was added first. The closer must not be empty.
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
