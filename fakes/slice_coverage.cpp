#include "fakes/slice_coverage.h"

#include <cstdlib>
#include <sstream>

namespace peargrade::fakes {
namespace {

// A route that is kept is recorded again after this time, in microseconds.
constexpr Micros kViolationInterval = 1000000;

}  // namespace

SliceCoverage::SliceCoverage(Relay& relay, std::function<Micros()> clock)
    : relay_(relay), clock_(std::move(clock)) {
  relay_.onOrder = [this](const std::string& order) {
    std::istringstream words(order);
    std::string kind, slice, server, weight;
    std::getline(words, kind, ',');
    std::getline(words, slice, ',');
    std::getline(words, server, ',');
    std::getline(words, weight, ',');
    const auto graceEnd = graceEnds_.find(server);
    if (kind == "put" && std::atof(weight.c_str()) > 0 && graceEnd != graceEnds_.end() &&
        clock_() > graceEnd->second)
      violations_.push_back("route set after the grace period: " + order);
    sample();
  };
}

void SliceCoverage::leaves(const std::string& server, Micros grace) {
  running_.erase(server);
  graceEnds_[server] = clock_() + grace;
}

void SliceCoverage::sample() {
  const Micros now = clock_();
  for (const auto& [slice, lines] : relay_.slices) {
    bool usable = false;
    for (const auto& [server, weight] : lines) {
      usable = usable || running_.count(server) != 0;
      const auto graceEnd = graceEnds_.find(server);
      if (graceEnd == graceEnds_.end() || now <= graceEnd->second) continue;
      violations_.push_back("route kept after the grace period: slice " + std::to_string(slice) + " at " +
                            server);
      graceEnd->second = now + kViolationInterval;
    }
    if (usable) {
      unroutableSince_.erase(slice);
      continue;
    }
    const Micros since = unroutableSince_.emplace(slice, now).first->second;
    if (now - since <= longestUnroutable_) continue;
    longestUnroutable_ = now - since;
    worstSlice_ = "slice " + std::to_string(slice);
  }
}

}  // namespace peargrade::fakes
