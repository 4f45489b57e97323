// Decaying counts of attempts, failures and latencies between a zone of proxies and one server or zone.
#pragma once

#include "decision/decaying_sum.h"
#include "peargrade/events.h"

namespace peargrade::decision {

/// Decayed counts of attempts and of those that failed.
struct AttemptCounts {
  double attempts = 0;
  double failures = 0;

  /// 0 to 1; 0 without attempts.
  [[nodiscard]] double failureShare() const { return attempts > 0 ? failures / attempts : 0; }
};

/// What the proxies of one zone experienced at a server, or at all servers of a zone.
struct ZoneStatistics {
  DecayingSum attempts;
  DecayingSum failures;
  DecayingSum successes;
  /// Microseconds, summed over the successes.
  DecayingSum latencySum;

  [[nodiscard]] AttemptCounts counts(Micros now, Micros timeConstant) const;
  /// Mean latency of the successes, in microseconds; 0: no successes.
  [[nodiscard]] double meanLatency(Micros now, Micros timeConstant) const;
  void add(Micros now, const ZoneStatistics& other, Micros timeConstant);
  /// Adds a load report. Returns whether it holds successful attempts.
  bool add(Micros now, const ServerLoadReport& report, Micros timeConstant);
};

}  // namespace peargrade::decision
