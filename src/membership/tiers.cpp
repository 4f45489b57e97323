#include "membership/tiers.h"

#include <algorithm>
#include <iterator>

namespace peargrade::membership {
namespace {

// A weight of 0 among higher weights means a very small share (RFC 2782). The lower bound keeps every server
// reachable; the upper bound keeps a single excessive weight from attracting all load.
constexpr double kRelativeWeightMin = 0.02;
constexpr double kRelativeWeightMax = 50;

}  // namespace

SourceTiers::Changes SourceTiers::recount(const Counts& counts, const Settings& settings, Micros now) {
  for (const auto& [priority, count] : counts) tiers_[priority];
  Changes changes;
  for (auto& [priority, tier] : tiers_) {
    const auto found = counts.find(priority);
    const Count count = found == counts.end() ? Count{} : found->second;
    tier.present = count.present;
    tier.usable = count.usable;
    const double meanWeight = count.present == 0 ? 0 : count.weight / static_cast<double>(count.present);
    changes.meanWeights = changes.meanWeights || meanWeight != tier.meanWeight;
    tier.meanWeight = meanWeight;
    const bool peakExpired = tier.peakExpiresAt != 0 && now >= tier.peakExpiresAt;
    if (tier.present >= tier.peak || peakExpired) {
      tier.peak = tier.present;
      tier.peakExpiresAt = 0;
    } else if (tier.peakExpiresAt == 0) {
      tier.peakExpiresAt = now + settings.staleRetention;
      changes.recountAt.push_back(tier.peakExpiresAt);
    }
  }
  return changes;
}

std::vector<int> SourceTiers::updateUse(const Settings& settings) {
  std::vector<int> changed;
  double usableAbove = 0;
  double peakAbove = 0;
  for (auto it = tiers_.begin(); it != tiers_.end();) {
    Tier& tier = it->second;
    const double share = tier.inUse ? settings.tierLeaveShare : settings.tierJoinShare;
    const bool inUse = peakAbove == 0 || usableAbove < share * peakAbove;
    if (inUse != tier.inUse) changed.push_back(it->first);
    tier.inUse = inUse;
    usableAbove += static_cast<double>(tier.usable);
    peakAbove += static_cast<double>(tier.peak);
    const bool empty = tier.present == 0 && tier.peak == 0;
    it = empty ? tiers_.erase(it) : std::next(it);
  }
  return changed;
}

void SourceTiers::useAll() {
  for (auto& [priority, tier] : tiers_) tier.inUse = true;
}

bool SourceTiers::isInUse(int priority) const {
  const auto found = tiers_.find(priority);
  return found == tiers_.end() || found->second.inUse;
}

double SourceTiers::relativeWeight(const ServiceRecord& record) const {
  const auto found = tiers_.find(record.priority);
  if (found == tiers_.end() || found->second.meanWeight <= 0) return 1;
  return std::clamp(record.weight / found->second.meanWeight, kRelativeWeightMin, kRelativeWeightMax);
}

}  // namespace peargrade::membership
