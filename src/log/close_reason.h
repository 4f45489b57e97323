/// Why connections end: the codes of their log lines.
#pragma once

namespace peargrade::log {

/// The reason that a connection's one log line states. docs/oncall.md lists the codes with what an operator
/// does.
enum class CloseReason {
  PeerClosed,         ///< The peer closed in order.
  Reset,              ///< The peer or the network broke the connection.
  Refused,            ///< The connection attempt was refused.
  ConnectTimeout,     ///< The connection attempt was not answered in time.
  Silent,             ///< No input within the peer's limit.
  IdleClosed,         ///< The relay closed a call connection without calls.
  NoAnswer,           ///< A call was not answered in time.
  BadLength,          ///< A frame exceeds its length limit.
  BadMessage,         ///< A frame, line or object is malformed.
  BadAnswer,          ///< A reply is malformed, or its status is no success.
  TooLong,            ///< A line or body exceeds its length limit.
  SlowReader,         ///< The peer does not read what it is sent.
  ConnectionLimit,    ///< Evicted to make room for other connections.
  Unidentified,       ///< Neither joined nor sent a heartbeat in time.
  NotJoined,          ///< Sent a load report before joining.
  IncompleteMessage,  ///< A message was not completed in time.
  HeartbeatsOnly,     ///< Sent heartbeats for the time allowed and did not join.
  Moved,              ///< The configuration names another address.
  RevisionRegressed,  ///< Discovery sent an older revision than before.
  Discarded,          ///< The supervisor had no further use for the connection.
  Stopping,           ///< The supervisor shuts down.
};

/// The code as log lines have it, for example "peer-closed".
const char* code(CloseReason reason);

}  // namespace peargrade::log
