#include "net/clock.h"

#include <chrono>

namespace peargrade::net {

Micros steadyNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace peargrade::net
