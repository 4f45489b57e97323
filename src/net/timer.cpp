#include "net/timer.h"

#include <utility>

namespace peargrade::net {

Timer::Timer(event_base* base, std::function<void()> onFired) : onFired_(std::move(onFired)) {
  const auto onTimeout = [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->onFired_(); };
  event_.reset(requireHandle(event_new(base, -1, 0, onTimeout, this)));
}

void Timer::schedule(Micros delay) {
  const timeval wait = toTimeval(delay);
  event_add(event_.get(), &wait);
}

void Timer::cancel() { event_del(event_.get()); }

bool Timer::isScheduled() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

}  // namespace peargrade::net
