/// Idle timeout for connections.
#pragma once

#include <functional>

#include "net/timer.h"

namespace peargrade::net {

/// Detects a peer that sends nothing for a given time. When the time is over, a short grace period lets the
/// event loop process input that has already arrived: a pause of this process must not count as the peer
/// being idle.
class IdleTimeout {
 public:
  /// `onExpired`: called when the timeout expires.
  IdleTimeout(event_base* base, std::function<void()> onExpired);

  /// Starts or restarts the timeout, to expire `duration` microseconds from now. The owner calls it whenever
  /// input arrives.
  void schedule(Micros duration);
  void cancel() { timer_.cancel(); }

 private:
  void onTimer();

  std::function<void()> onExpired_;
  bool inGracePeriod_ = false;
  Timer timer_;
};

}  // namespace peargrade::net
