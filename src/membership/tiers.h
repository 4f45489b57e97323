/// Tiers and weights of one source of records (RFC 2782): which priorities are in use, and each server's
/// weight relative to its tier.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "membership/observation.h"
#include "membership/settings.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// A tier is the servers of one priority. The lowest number is always in use; the next joins while too few of
/// the servers above it are usable.
class SourceTiers {
 public:
  struct Count {
    std::size_t present = 0;
    std::size_t usable = 0;
    double weight = 0;  // sum of the present ones
  };
  using Counts = std::map<int, Count>;  // by priority

  struct Changes {
    bool meanWeights = false;
    /// When a tier that shrank has to be counted again.
    std::vector<Micros> recountAt;
  };

  /// Takes over the servers that the source lists now.
  Changes recount(const Counts& counts, const Settings& settings, Micros now);
  /// Which tiers are in use by the last count. Returns the priorities for which that changed.
  std::vector<int> updateUse(const Settings& settings);
  /// For a source with a single tier.
  void useAll();

  std::size_t size() const { return tiers_.size(); }
  /// An unknown priority counts as in use.
  bool isInUse(int priority) const;
  /// The record's weight as a multiple of its tier's mean, within bounds; 1 where the tier has no weights.
  double relativeWeight(const ServiceRecord& record) const;

 private:
  struct Tier {
    std::size_t present = 0;
    std::size_t usable = 0;
    /// The most servers it had within the stale retention, so that a shrinking response counts as a loss.
    std::size_t peak = 0;
    Micros peakExpiresAt = 0;  // 0: it has not shrunk
    double meanWeight = 0;
    bool inUse = false;
  };

  std::map<int, Tier> tiers_;
};

}  // namespace peargrade::membership
