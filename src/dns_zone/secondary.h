// State machine of a secondary: which primary to query, when, and when the zone expires (RFC 1034, section
// 4.3.5; RFC 1996). No I/O, clock or threads: each event returns the next step for the caller to perform.
#pragma once

#include <cstddef>
#include <optional>

#include "dns_zone/record.h"
#include "peargrade/decision_engine.h"

namespace peargrade::dns_zone {

/// The timers and the choice of primary of one secondary zone. Times in Unix microseconds.
class Secondary {
 public:
  struct Settings {
    std::size_t primaries = 1;
    // Bounds on the SOA timers.
    Micros minRefresh = 1000000;
    Micros maxRefresh = 86400000000;
    Micros minRetry = 500000;
    Micros maxRetry = 3600000000;
    Micros minExpire = 60000000;
  };
  struct Step {
    enum class Do {
      Wait,      // until `at`
      AskSoa,    // query the SOA of `primary`
      Transfer,  // from `primary`: AXFR if `whole`, else IXFR
    } what = Do::Wait;
    std::size_t primary = 0;
    bool whole = false;
    Micros at = 0;
  };

  explicit Secondary(const Settings& settings) : settings_(settings) {}

  /// Starts with the SOA of the stored zone, if any. The expiry counts from `freshAt`, when the zone was last
  /// confirmed.
  Step begin(std::optional<Soa> storedSoa, Micros freshAt, Micros now);
  Step due(Micros now);  // the time of a Wait step has come
  /// The queried primary answered with this serial.
  Step answered(std::uint32_t serial, Micros now);
  /// A transfer was completed and accepted, or the primary has nothing newer: the zone has this SOA.
  Step transferred(const Soa& soa, Micros now);
  /// A transfer was completed but rejected because its serial is not newer. Not counted as a failure: the
  /// primary answers.
  Step refused(Micros now);
  /// The IXFR does not apply to the current zone: requests an AXFR from the same primary.
  Step unfit(Micros now);
  /// No answer, an error response, or an interrupted transfer.
  Step failed(Micros now);
  /// NOTIFY from a primary: queries it at once, or, if a query or transfer is in progress, right after that
  /// (nullopt).
  std::optional<Step> notified(std::size_t primary, Micros now);

  /// The time after which the zone must not be used; 0 without a zone.
  Micros expiresAt() const { return expiresAt_; }
  int failures() const { return failures_; }

 private:
  Step wait(Micros span, Micros now);
  Step ask();

  const Settings settings_;
  std::optional<Soa> soa_;
  Micros expiresAt_ = 0;
  std::size_t primary_ = 0;
  int failures_ = 0;   // consecutive
  bool busy_ = false;  // a query or transfer is in progress
  std::optional<std::size_t> notified_;
};

}  // namespace peargrade::dns_zone
