// Decaying statistics of the attempts that the proxies of one zone sent to one server, or to one zone of
// servers.
#pragma once

#include "decision/decaying_sum.h"
#include "peargrade/events.h"

namespace peargrade::decision {

/// Decayed numbers of all attempts and of the failed ones.
struct AttemptCounts {
  double attempts = 0;
  double failures = 0;

  /// Share of failed attempts, 0 to 1; 0 if there were no attempts.
  [[nodiscard]] double failureShare() const { return attempts > 0 ? failures / attempts : 0; }
};

/// Attempts of the proxies of one zone at one server, or at all servers of a zone.
struct ZoneStatistics {
  DecayingSum attempts;
  DecayingSum failures;
  DecayingSum successes;
  /// Sum of the latencies of the successful attempts, in microseconds.
  DecayingSum latencySum;

  [[nodiscard]] AttemptCounts counts(Micros now, Micros timeConstant) const;
  /// Mean latency of the successful attempts, in microseconds; 0: none succeeded.
  [[nodiscard]] double meanLatency(Micros now, Micros timeConstant) const;
  void add(Micros now, const ZoneStatistics& other, Micros timeConstant);
  /// Adds a load report. Returns whether it contains successful attempts.
  bool add(Micros now, const ServerLoadReport& report, Micros timeConstant);
};

}  // namespace peargrade::decision
