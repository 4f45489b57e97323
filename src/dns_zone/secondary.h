// When a secondary asks which primary what, and until when its zone holds (RFC 1034, section 4.3.5; RFC
// 1996). Free of I/O, clock and threads: it is told what came and says what to do next.
#pragma once

#include <cstddef>
#include <optional>

#include "dns_zone/record.h"
#include "peargrade/decision_engine.h"

namespace peargrade::dns_zone {

// The timers and the choice of primary of one zone that is followed. Times in Unix microseconds.
class Secondary {
 public:
  struct Settings {
    std::size_t primaries = 1;
    Micros refreshLeast = 1000000, refreshMost = 86400000000;
    Micros retryLeast = 500000, retryMost = 3600000000;
    Micros expireLeast = 60000000;
  };
  struct Step {
    enum class Do {
      Wait,      // until `at`
      AskSoa,    // of `primary`
      Transfer,  // from it; `whole`: AXFR
    } what = Do::Wait;
    std::size_t primary = 0;
    bool whole = false;
    Micros at = 0;
  };

  explicit Secondary(const Settings& settings) : settings_(settings) {}

  // What is held at the start: the SOA of the zone, if there is one; it counts as fresh as it was at
  // `freshAt`.
  Step begin(std::optional<Soa> held, Micros freshAt, Micros now);
  Step due(Micros now);  // the wait is over
  // The primary that was asked has this serial.
  Step answered(std::uint32_t serial, Micros now);
  // The transfer is whole and was taken: the zone has this SOA. Or it said that nothing is newer.
  Step transferred(const Soa& soa, Micros now);
  // Whole, and not taken since its serial goes back: the primary answers, so it is no failure of the way.
  Step refused(Micros now);
  // The changes did not fit: the whole is asked for, at the same primary.
  Step unfit(Micros now);
  // No answer, a refusal, or a transfer that broke off.
  Step failed(Micros now);
  // NOTIFY from a primary: asked at once, unless something is under way; then right after.
  std::optional<Step> notified(std::size_t primary, Micros now);

  // Past it the zone may not be relied on; 0: nothing is held.
  Micros expiresAt() const { return expiresAt_; }
  int failures() const { return failures_; }

 private:
  Step wait(Micros span, Micros now);
  Step ask();

  const Settings settings_;
  std::optional<Soa> held_;
  Micros expiresAt_ = 0;
  std::size_t primary_ = 0;
  int failures_ = 0;   // in a row
  bool busy_ = false;  // something is under way
  std::optional<std::size_t> notified_;
};

}  // namespace peargrade::dns_zone
