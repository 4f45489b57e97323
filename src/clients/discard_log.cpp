#include "clients/discard_log.h"

namespace peargrade::clients {
namespace {

constexpr Micros kLogInterval = 1000000;      // 1 s
constexpr std::size_t kLoggedErrorMax = 200;  // characters

}  // namespace

void DiscardLog::record(const std::string& peer, const std::string& error, Micros now) {
  ++total_;
  ++notYetLogged_;
  if (loggedAt_ != 0 && now - loggedAt_ < kLogInterval) return;
  loggedAt_ = now;
  log_.warn("clients") << "discarded " << notYetLogged_ << " invalid messages; last from " << peer << ": "
                       << error.substr(0, kLoggedErrorMax);
  notYetLogged_ = 0;
}

}  // namespace peargrade::clients
