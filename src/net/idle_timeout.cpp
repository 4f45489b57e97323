#include "net/idle_timeout.h"

#include <utility>

namespace peargrade::net {
namespace {

constexpr Micros kGracePeriod = 10000;  // 10 ms, to process input that has already arrived

}  // namespace

IdleTimeout::IdleTimeout(event_base* base, std::function<void()> onExpired)
    : onExpired_(std::move(onExpired)), timer_(base, [this] { onTimer(); }) {}

void IdleTimeout::schedule(Micros duration) {
  inGracePeriod_ = false;
  timer_.schedule(duration);
}

void IdleTimeout::onTimer() {
  if (inGracePeriod_) {
    onExpired_();
    return;
  }
  inGracePeriod_ = true;
  timer_.schedule(kGracePeriod);
}

}  // namespace peargrade::net
