// Tiers and weights (RFC 2782): which priorities are in use, and the share of each server in its own.
#include <algorithm>
#include <map>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

// A weight of 0 beside others that are not means a very small share (RFC 2782); none is so small that the
// server would never be tried, nor so large that one wrong figure draws all.
constexpr double kWeightLeast = 0.02, kWeightMost = 50;

}  // namespace

// The upper tier counts a server that the roster drains or took out as missing.
bool Membership::usable(const Spot& spot) const {
  if (spot.drainedAt != 0 || (spot.goneAt != 0 && spot.goneByRecords && startedAgain(spot) == 0))
    return false;
  if (!spot.uids.empty())
    return std::any_of(spot.uids.begin(), spot.uids.end(), [&](const ServerId& uid) {
      const auto at = roster_.find(uid);
      return at != roster_.end() && at->second.entry.state == EndpointState::Ready;
    });
  return spot.goneAt == 0 || spot.takenBack || startedAgain(spot) != 0;
}

// When records first showed it after it was gone by the roster and a complete answer had been without it; 0:
// never.
Micros Membership::startedAgain(const Spot& spot) const {
  Micros at = 0;
  for (const View& v : spot.views) {
    if (v.present && v.absentAt > spot.goneAt) at = at == 0 ? v.appearedAt : std::min(at, v.appearedAt);
  }
  return at;
}

void Membership::recount(std::size_t source, Micros now) {
  Source& s = sources_[source];
  std::map<int, double> sums;
  for (auto& [tier, t] : s.tiers) t.present = t.usable = 0;
  for (const auto& [endpoint, spot] : spots_) {
    const View& view = spot.views[source];
    if (!view.present) continue;
    Tier& t = s.tiers[view.last.tier];
    ++t.present;
    t.usable += usable(spot);
    sums[view.last.tier] += view.last.weight;
  }
  bool moved = false;
  for (auto& [tier, t] : s.tiers) {
    const double mean = t.present == 0 ? 0 : sums[tier] / static_cast<double>(t.present);
    moved = moved || mean != t.mean;
    t.mean = mean;
    const bool over = t.peakUntil != 0 && now >= t.peakUntil;
    if (t.present >= t.peak || over) {
      t.peak = t.present;
      t.peakUntil = 0;
    } else if (t.peakUntil == 0) {
      t.peakUntil = now + settings_.staleFor;
      due_.insert({t.peakUntil, ""});
    }
  }
  if (!moved) return;
  for (const auto& [endpoint, spot] : spots_) {
    if (spot.views[source].present) markDirty(endpoint);
  }
}

void Membership::markTierDirty(std::size_t source, int tier) {
  for (const auto& [endpoint, spot] : spots_) {
    if (spot.views[source].present && spot.views[source].last.tier == tier) markDirty(endpoint);
  }
}

// A lower tier joins while too little of those above it is there, and leaves once enough is back.
void Membership::retier(Micros now) {
  for (std::size_t k = 0; k < sources_.size(); ++k) {
    Source& s = sources_[k];
    if (s.tiers.size() < 2) {
      for (auto& [tier, t] : s.tiers) t.used = true;
      continue;
    }
    recount(k, now);
    double above = 0, had = 0;
    for (auto at = s.tiers.begin(); at != s.tiers.end();) {
      Tier& t = at->second;
      const bool was = t.used;
      t.used = had == 0 || above < (was ? settings_.tierBack : settings_.tierLeast) * had;
      if (t.used != was) markTierDirty(k, at->first);
      above += static_cast<double>(t.usable);
      had += static_cast<double>(t.peak);
      at = t.present == 0 && t.peak == 0 ? s.tiers.erase(at) : std::next(at);
    }
  }
}

bool Membership::tierNeeded(const Spot& spot, const View& view) const {
  const auto& tiers = sources_[static_cast<std::size_t>(&view - spot.views.data())].tiers;
  const auto at = tiers.find(view.last.tier);
  return at == tiers.end() || at->second.used;
}

double Membership::weightOf(const Spot& spot, const View& view) const {
  const auto& tiers = sources_[static_cast<std::size_t>(&view - spot.views.data())].tiers;
  const auto at = tiers.find(view.last.tier);
  if (at == tiers.end() || at->second.mean <= 0) return 1;
  return std::clamp(view.last.weight / at->second.mean, kWeightLeast, kWeightMost);
}

}  // namespace peargrade::membership
