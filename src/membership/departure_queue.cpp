#include "membership/departure_queue.h"

namespace peargrade::membership {

void DepartureQueue::add(const std::string& address, Micros now) {
  if (!since_.emplace(address, now).second) return;
  order_.emplace(now, address);
}

void DepartureQueue::remove(const std::string& address) {
  const auto found = since_.find(address);
  if (found == since_.end()) return;
  order_.erase({found->second, address});
  since_.erase(found);
}

std::optional<Micros> DepartureQueue::nextStep() const {
  if (order_.empty()) return std::nullopt;
  return nextStep_;
}

std::vector<std::string> DepartureQueue::beginStep(std::size_t count, Micros now, Micros interval) {
  nextStep_ = now + interval;
  std::vector<std::string> addresses;
  for (const auto& [since, address] : order_) {
    if (addresses.size() == count) break;
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace peargrade::membership
