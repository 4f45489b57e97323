#include "log/reason.h"

namespace peargrade::log {

const char* code(Reason reason) {
  switch (reason) {
    case Reason::PeerClosed:
      return "peer-closed";
    case Reason::Reset:
      return "reset";
    case Reason::Refused:
      return "refused";
    case Reason::ConnectTimeout:
      return "connect-timeout";
    case Reason::Silent:
      return "silent";
    case Reason::IdleClosed:
      return "idle-closed";
    case Reason::NoAnswer:
      return "no-answer";
    case Reason::BadLength:
      return "bad-length";
    case Reason::BadMessage:
      return "bad-message";
    case Reason::BadAnswer:
      return "bad-answer";
    case Reason::TooLong:
      return "too-long";
    case Reason::SlowReader:
      return "slow-reader";
    case Reason::ConnectionLimit:
      return "connection-limit";
    case Reason::Unidentified:
      return "unidentified";
    case Reason::NotJoined:
      return "not-joined";
    case Reason::IncompleteMessage:
      return "incomplete-message";
    case Reason::HeartbeatsOnly:
      return "heartbeats-only";
    case Reason::Moved:
      return "moved";
    case Reason::RevisionRegressed:
      return "revision-regressed";
    case Reason::Discarded:
      return "discarded";
    case Reason::Stopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace peargrade::log
