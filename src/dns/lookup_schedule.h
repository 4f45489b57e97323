// Time of the next lookup of a service. Performs no I/O and reads no clock.
#pragma once

#include <algorithm>

#include "dns/settings.h"
#include "dns/srv.h"

namespace peargrade::dns {

/// The lookup schedule of one service. Times in microseconds.
class LookupSchedule {
 public:
  explicit LookupSchedule(const Settings& settings) : settings_(settings) {}

  /// The delay until the next lookup. A complete result is refreshed before the earliest end of its
  /// lifetimes. A partial or failed result is retried after a backoff that doubles up to 30 s. `jitter` from
  /// 0 to 1 shortens the delay, so that resolvers that got the same answer together do not refresh it
  /// together. `maxDelay` limits the delay; 0 sets no limit.
  Micros after(const Service& service, Micros now, double jitter, Micros maxDelay) {
    Micros wait = 0;
    if (service.kind == Service::Kind::Complete) {
      failures_ = 0;
      Micros until = service.until;
      for (const Target& target : service.targets) {
        until = std::min(until, target.until);
        if (!target.sure) until = std::min(until, now + settings_.failureHold);
      }
      const double fraction = settings_.refreshAt - settings_.spread * jitter;
      wait = std::max(settings_.ttlLeast / 2,
                      static_cast<Micros>(static_cast<double>(std::max<Micros>(0, until - now)) * fraction));
    } else {
      wait = std::min(kMaxBackoff, settings_.failureHold << std::min(failures_, 10));
      wait -= static_cast<Micros>(static_cast<double>(wait) * settings_.spread * jitter);
      ++failures_;
    }
    return maxDelay > 0 ? std::min(wait, maxDelay) : wait;
  }

 private:
  static constexpr Micros kMaxBackoff = 30000000;

  const Settings& settings_;
  int failures_ = 0;  // in a row
};

}  // namespace peargrade::dns
