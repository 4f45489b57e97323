#include "net/handles.h"

#include <algorithm>

namespace peargrade::net {
namespace {

constexpr Micros kMicrosPerSecond = 1000000;

}  // namespace

EventBase makeBase() { return EventBase(requireHandle(event_base_new())); }

timeval toTimeval(Micros duration) {
  const Micros wait = std::max<Micros>(duration, 0);
  return {static_cast<time_t>(wait / kMicrosPerSecond), static_cast<suseconds_t>(wait % kMicrosPerSecond)};
}

}  // namespace peargrade::net
