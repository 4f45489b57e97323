#include "decision/zone_statistics.h"

#include <algorithm>

namespace peargrade::decision {

AttemptCounts ZoneStatistics::counts(Micros now, Micros timeConstant) const {
  return {attempts.at(now, timeConstant), failures.at(now, timeConstant)};
}

double ZoneStatistics::meanLatency(Micros now, Micros timeConstant) const {
  const double count = successes.at(now, timeConstant);
  return count > 0 ? latencySum.at(now, timeConstant) / count : 0;
}

void ZoneStatistics::add(Micros now, const ZoneStatistics& other, Micros timeConstant) {
  attempts.add(now, other.attempts.at(now, timeConstant), timeConstant);
  failures.add(now, other.failures.at(now, timeConstant), timeConstant);
  successes.add(now, other.successes.at(now, timeConstant), timeConstant);
  latencySum.add(now, other.latencySum.at(now, timeConstant), timeConstant);
}

bool ZoneStatistics::add(Micros now, const ServerLoadReport& report, Micros timeConstant) {
  const auto attemptCount = static_cast<double>(report.attempts);
  const auto failureCount = static_cast<double>(std::min(report.failures, report.attempts));
  attempts.add(now, attemptCount, timeConstant);
  failures.add(now, failureCount, timeConstant);
  if (report.meanLatency <= 0 || attemptCount <= failureCount) return false;
  successes.add(now, attemptCount - failureCount, timeConstant);
  latencySum.add(now, (attemptCount - failureCount) * static_cast<double>(report.meanLatency), timeConstant);
  return true;
}

}  // namespace peargrade::decision
