/// The open connections of the report server, and the choice of the one to close when a limit is reached.
#pragma once

#include <list>
#include <string>

#include "clients/connection.h"

namespace peargrade::clients {

/// Keeps connections in the order in which they were accepted. ReportServer uses it on the event loop's
/// thread.
class ConnectionTable {
 public:
  /// Stays valid until its connection is removed.
  using Iterator = std::list<Connection>::iterator;

  /// Adds a connection that was accepted at `now`; the caller sets its stream.
  Iterator add(const std::string& peer, Micros now);
  /// Removes the connection. Closes its stream unless the caller has moved the stream out.
  void remove(Iterator connection);

  /// Recomputes the memory of the connection's incomplete message; called after its decoder has changed.
  void updateBufferedBytes(Iterator connection);
  /// Memory of the incomplete messages of all connections, in bytes.
  std::size_t bufferedBytes() const { return bufferedBytes_; }

  /// The connection to close in favor of a new one: the oldest unidentified peer, else the oldest health
  /// checker, else the collector whose last valid message is oldest. The table must not be empty.
  Iterator evictionCandidate();
  /// The connection in `role` that was accepted first; end() if there is none. Among unidentified peers,
  /// those without unread input are preferred, because unread input may contain a join.
  Iterator oldest(Role role);
  /// The connection whose incomplete message uses the most memory. The table must not be empty.
  Iterator largestBuffer();
  /// Number of connections in `role`.
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
