#include "fakes/slice_coverage.h"

#include <cstdlib>
#include <sstream>

namespace peargrade::fakes {

SliceCoverage::SliceCoverage(Relay& relay, std::function<Micros()> clock)
    : relay_(relay), clock_(std::move(clock)) {
  relay_.onOrder = [this](const std::string& order) {
    std::istringstream words(order);
    std::string kind, slice, server, weight;
    std::getline(words, kind, ',');
    std::getline(words, slice, ',');
    std::getline(words, server, ',');
    std::getline(words, weight, ',');
    const auto left = left_.find(server);
    if (kind == "put" && std::atof(weight.c_str()) > 0 && left != left_.end() && clock_() > left->second)
      wrongs_.push_back("set after it left: " + order);
    sample();
  };
}

void SliceCoverage::leaves(const std::string& server, Micros grace) {
  running_.erase(server);
  left_[server] = clock_() + grace;
}

void SliceCoverage::sample() {
  const Micros now = clock_();
  for (const auto& [slice, lines] : relay_.slices) {
    bool usable = false;
    for (const auto& [server, weight] : lines) {
      usable = usable || running_.count(server) != 0;
      const auto left = left_.find(server);
      if (left == left_.end() || now <= left->second) continue;
      wrongs_.push_back("kept after it left: slice " + std::to_string(slice) + " at " + server);
      left->second = now + 1000000;  // once a second
    }
    if (usable) {
      bareSince_.erase(slice);
      continue;
    }
    const Micros since = bareSince_.emplace(slice, now).first->second;
    if (now - since <= worst_) continue;
    worst_ = now - since;
    where_ = "slice " + std::to_string(slice);
  }
}

}  // namespace peargrade::fakes
