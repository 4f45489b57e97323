/// Detection of silent peers.
#pragma once

#include <functional>

#include "net/timer.h"

namespace peargrade::net {

/// A limit on a peer's silence. On expiry, input that is already waiting gets one more turn of the loop:
/// after a pause of this process, the pause must not count as the peer's silence.
class IdleTimeout {
 public:
  IdleTimeout(event_base* base, std::function<void()> expired);

  /// Expires after `duration` microseconds from now, in place of an earlier schedule. The owner calls it on
  /// input.
  void schedule(Micros duration);
  void cancel() { timer_.cancel(); }

 private:
  void onTimer();

  std::function<void()> expired_;
  bool inGracePeriod_ = false;
  Timer timer_;
};

}  // namespace peargrade::net
