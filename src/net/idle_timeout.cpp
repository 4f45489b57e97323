#include "net/idle_timeout.h"

#include <utility>

namespace peargrade::net {
namespace {

constexpr Micros kGracePeriod = 10000;  // 10 ms, for input that is already waiting

}  // namespace

IdleTimeout::IdleTimeout(event_base* base, std::function<void()> expired)
    : expired_(std::move(expired)), timer_(base, [this] { onTimer(); }) {}

void IdleTimeout::schedule(Micros duration) {
  inGracePeriod_ = false;
  timer_.schedule(duration);
}

void IdleTimeout::onTimer() {
  if (inGracePeriod_) {
    expired_();
    return;
  }
  inGracePeriod_ = true;
  timer_.schedule(kGracePeriod);
}

}  // namespace peargrade::net
