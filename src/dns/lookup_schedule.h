// When a service is looked up next. Free of I/O and clock.
#pragma once

#include <algorithm>

#include "dns/settings.h"
#include "dns/srv.h"

namespace peargrade::dns {

// The schedule of one service. Times in microseconds.
class LookupSchedule {
 public:
  explicit LookupSchedule(const Settings& settings) : settings_(settings) {}

  // From now; `chance` from 0 to 1 spreads it, so that those who learned together do not ask together. An
  // answer that is whole is asked for again before its end; one that is not, after a hold that doubles up to
  // 30 s, unless what is known ends sooner. `soonest`: no later than this (0: no such bound).
  Micros after(const Service& service, Micros now, double chance, Micros soonest) {
    Micros wait = 0;
    if (service.kind == Service::Kind::Complete) {
      failures_ = 0;
      Micros until = service.until;
      for (const Target& t : service.targets) {
        until = std::min(until, t.until);
        if (!t.sure) until = std::min(until, now + settings_.failureHold);
      }
      const double share = settings_.refreshAt - settings_.spread * chance;
      wait = std::max(settings_.ttlLeast / 2,
                      static_cast<Micros>(static_cast<double>(std::max<Micros>(0, until - now)) * share));
    } else {
      wait = std::min(kHoldMost, settings_.failureHold << std::min(failures_, 10));
      wait -= static_cast<Micros>(static_cast<double>(wait) * settings_.spread * chance);
      ++failures_;
    }
    return soonest > 0 ? std::min(wait, soonest) : wait;
  }

 private:
  static constexpr Micros kHoldMost = 30000000;

  const Settings& settings_;
  int failures_ = 0;  // in a row
};

}  // namespace peargrade::dns
