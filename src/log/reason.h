// Why a connection ended: the codes that stand in its one log line. docs/oncall.md lists them.
#pragma once

#include <string>

namespace peargrade::log {

enum class Reason {
  PeerClosed,         // the peer closed it in order
  Reset,              // the peer or the network broke it
  Refused,            // the dial was refused
  ConnectTimeout,     // the dial never came up
  Silent,             // no sign of life within the peer's limit
  IdleClosed,         // an order connection that had nothing to carry was closed by the relay
  NoAnswer,           // a call was not answered in time
  BadLength,          // a frame longer than allowed
  BadMessage,         // a frame, line or object that cannot be read
  BadAnswer,          // an answer that cannot be read, or a status other than success
  TooLong,            // a line or body longer than allowed
  SlowReader,         // the peer does not read what it is sent
  ConnectionLimit,    // closed to make room for others
  Unidentified,       // said nothing of use in time
  NotJoined,          // reported before it joined
  IncompleteMessage,  // a message that was begun and did not end in time
  HeartbeatsOnly,     // kept its connection without joining
  Moved,              // the configuration names another address
  RevisionRegressed,  // discovery went back behind what it had told
  Discarded,          // the supervisor ended it: no further use
  Stopping,           // the supervisor ends
};

const char* code(Reason reason);

}  // namespace peargrade::log
