/// The open connections of the report server, and which of them is closed first when a limit is reached.
#pragma once

#include <list>
#include <string>

#include "clients/connection.h"

namespace peargrade::clients {

/// Holds connections in the order of their accept. Used by ReportServer on the event loop's thread.
class ConnectionTable {
 public:
  using Iterator = std::list<Connection>::iterator;  ///< Valid until that connection is removed.

  /// Adds a connection without a stream.
  Iterator add(const std::string& peer, Micros now);
  /// Removes the connection and closes its stream, if it still has one.
  void remove(Iterator connection);

  /// Updates the memory accounted to the connection's incomplete message.
  void updateBufferedBytes(Iterator connection);
  /// Memory of incomplete messages over all connections, in bytes.
  std::size_t bufferedBytes() const { return bufferedBytes_; }

  /// Which connection makes room for a new one: the oldest unidentified peer, else the oldest health checker,
  /// else the collector with the oldest activity. The table must not be empty.
  Iterator evictionCandidate();
  /// The oldest connection in `role`; end() if there is none. Unidentified peers without unread input come
  /// first: input may hold a join.
  Iterator oldest(Role role);
  /// The connection whose incomplete message holds most memory. The table must not be empty.
  Iterator largestBuffer();
  std::size_t count(Role role) const;

  Iterator begin() { return connections_.begin(); }
  Iterator end() { return connections_.end(); }
  std::size_t size() const { return connections_.size(); }
  bool empty() const { return connections_.empty(); }

 private:
  std::list<Connection> connections_;
  std::size_t bufferedBytes_ = 0;
};

}  // namespace peargrade::clients
