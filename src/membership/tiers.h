/// Tiers of one source of records (RFC 2782): which priorities are in use, and the weight of each server
/// relative to its tier.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "membership/observation.h"
#include "membership/settings.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// A tier consists of the servers of one priority. The tier with the lowest number is always in use. The next
/// one is used while too few servers of the tiers above it are usable.
class SourceTiers {
 public:
  struct Count {
    std::size_t present = 0;
    std::size_t usable = 0;
    double weight = 0;  // sum over the present servers
  };
  using Counts = std::map<int, Count>;  // by priority

  struct Changes {
    /// Whether the mean weight of any tier changed.
    bool meanWeights = false;
    /// When a tier that shrank must be counted again.
    std::vector<Micros> recountAt;
  };

  /// Updates the tiers to the servers that the source currently lists.
  Changes recount(const Counts& counts, const Settings& settings, Micros now);
  /// Determines which tiers are in use from the last count. Returns the priorities whose use changed.
  std::vector<int> updateUse(const Settings& settings);
  /// Marks all tiers as in use. For a source with a single tier.
  void useAll();

  std::size_t size() const { return tiers_.size(); }
  /// An unknown priority counts as in use.
  bool isInUse(int priority) const;
  /// The record's weight as a multiple of the mean weight of its tier, clamped to a fixed range; 1 if
  /// all weights of the tier are 0.
  double relativeWeight(const ServiceRecord& record) const;

 private:
  struct Tier {
    std::size_t present = 0;
    std::size_t usable = 0;
    /// Largest `present` within the stale retention. Servers that a shrinking response leaves out count as
    /// lost.
    std::size_t peak = 0;
    Micros peakExpiresAt = 0;  // 0: the tier has not shrunk below its peak
    double meanWeight = 0;
    bool inUse = false;
  };

  std::map<int, Tier> tiers_;
};

}  // namespace peargrade::membership
