#include "log/close_reason.h"

namespace peargrade::log {

const char* code(CloseReason reason) {
  switch (reason) {
    case CloseReason::PeerClosed:
      return "peer-closed";
    case CloseReason::Reset:
      return "reset";
    case CloseReason::Refused:
      return "refused";
    case CloseReason::ConnectTimeout:
      return "connect-timeout";
    case CloseReason::Silent:
      return "silent";
    case CloseReason::IdleClosed:
      return "idle-closed";
    case CloseReason::NoAnswer:
      return "no-answer";
    case CloseReason::BadLength:
      return "bad-length";
    case CloseReason::BadMessage:
      return "bad-message";
    case CloseReason::BadAnswer:
      return "bad-answer";
    case CloseReason::TooLong:
      return "too-long";
    case CloseReason::SlowReader:
      return "slow-reader";
    case CloseReason::ConnectionLimit:
      return "connection-limit";
    case CloseReason::Unidentified:
      return "unidentified";
    case CloseReason::NotJoined:
      return "not-joined";
    case CloseReason::IncompleteMessage:
      return "incomplete-message";
    case CloseReason::HeartbeatsOnly:
      return "heartbeats-only";
    case CloseReason::Moved:
      return "moved";
    case CloseReason::RevisionRegressed:
      return "revision-regressed";
    case CloseReason::Discarded:
      return "discarded";
    case CloseReason::Stopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace peargrade::log
