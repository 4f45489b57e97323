/// The reasons why connections end, and their codes in log lines.
#pragma once

namespace peargrade::log {

/// The reason in the log line that is written when a connection ends. docs/oncall.md lists the codes and the
/// operator's response to each.
enum class CloseReason {
  PeerClosed,         ///< The peer closed the connection normally.
  Reset,              ///< The connection was reset or failed with a network error.
  Refused,            ///< The connection attempt was refused.
  ConnectTimeout,     ///< The connection attempt timed out.
  Silent,             ///< The peer sent nothing within its time limit.
  IdleClosed,         ///< The relay closed a call connection that had no calls in flight.
  NoAnswer,           ///< A call timed out.
  BadLength,          ///< A frame exceeds its length limit.
  BadMessage,         ///< A frame, line or JSON object is malformed.
  BadAnswer,          ///< A reply is malformed, or its status is not a success status.
  TooLong,            ///< A line or body exceeds its length limit.
  SlowReader,         ///< The peer does not read the data sent to it.
  ConnectionLimit,    ///< Closed because a limit on connections or their memory was exceeded.
  Unidentified,       ///< The peer sent neither a join nor a heartbeat in time.
  NotJoined,          ///< The peer sent a load report before joining.
  IncompleteMessage,  ///< A message was not completed in time.
  HeartbeatsOnly,     ///< The peer sent heartbeats but did not join within its time limit.
  Moved,              ///< A reload changed the address to connect to.
  RevisionRegressed,  ///< Discovery sent an older revision than the last one received.
  Discarded,          ///< The supervisor no longer needed the connection.
  Stopping,           ///< The supervisor is shutting down.
};

/// Returns the code of `reason` in log lines, for example "peer-closed".
const char* code(CloseReason reason);

}  // namespace peargrade::log
