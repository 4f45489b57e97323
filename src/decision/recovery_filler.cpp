#include "decision/recovery_filler.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Load reports must cover at least this time before servers are filled.
constexpr Micros kObservationTime = 10 * kSecond;
/// A recovering server is filled up to this share of the mean load.
constexpr double kFillTargetShare = 0.8;
/// Minimum time between two migrations to the same recovering server, and between two off the same donor.
constexpr Micros kFillInterval = 1 * kSecond;
/// Greater than the heat of any slice.
constexpr double kInfiniteHeat = 1e18;

/// Heat of the coolest slice of each primary server.
std::map<ServerId, double> coolestSlices(const SliceMap& slices) {
  std::map<ServerId, double> coolest;
  for (const auto& [table, slice] : slices) {
    double& least = coolest.emplace(slice.primary, slice.heat).first->second;
    least = std::min(least, slice.heat);
  }
  return coolest;
}

}  // namespace

bool RecoveryFiller::Candidate::operator<(const Candidate& other) const {
  return std::tie(sortKey, tieBreaker, server) < std::tie(other.sortKey, other.tieBreaker, other.server);
}

void RecoveryFiller::fill(ServerMap& servers, SliceMap& slices) {
  const Micros now = clock_.now();
  if (load_.firstReportAt() == 0 || now - load_.firstReportAt() < kObservationTime) return;
  const Candidates sorted = candidates(servers);
  std::map<ServerId, double> coolest = coolestSlices(slices);
  double coolestOfAll = kInfiniteHeat;
  for (const Candidate& donor : sorted.donors) coolestOfAll = std::min(coolestOfAll, coolest[*donor.server]);
  for (const Candidate& recovering : sorted.recovering) {
    if (load_.projectedLoad(servers.at(*recovering.server), coolestOfAll) > load_.meanLoad()) continue;
    for (const Candidate& donor : sorted.donors) {
      if (migrateFromDonor(*donor.server, *recovering.server, coolest[*donor.server], servers, slices)) break;
    }
  }
}

RecoveryFiller::Candidates RecoveryFiller::candidates(const ServerMap& servers) {
  Candidates found;
  for (const auto& [id, server] : servers) {
    const double load = load_.projectedLoad(server);
    if (isDonor(server, load)) found.donors.push_back({-load, random_.uniform(), &id});
    if (isRecovering(server, load)) found.recovering.push_back({load, random_.uniform(), &id});
  }
  std::sort(found.recovering.begin(), found.recovering.end());
  std::sort(found.donors.begin(), found.donors.end());
  return found;
}

bool RecoveryFiller::isDonor(const ServerState& server, double load) const {
  const double margin = slowStart_.isFleetOverloaded() ? 1 : kFillTargetShare;
  return server.isUsable() && server.load.ownHeat > 0 && load * margin > load_.meanLoad();
}

bool RecoveryFiller::isRecovering(const ServerState& server, double load) const {
  if (server.changedAt <= load_.settledBefore() || !placement_.acceptsSlices(server)) return false;
  if (clock_.now() - server.migrations.lastFilledAt < kFillInterval) return false;
  return load < kFillTargetShare * load_.meanLoad() && server.reports.pressure <= kRelaxedPressure;
}

bool RecoveryFiller::migrateFromDonor(const ServerId& donorId, const ServerId& recoveringId,
                                      double coolestSlice, ServerMap& servers, SliceMap& slices) {
  const Micros now = clock_.now();
  ServerState& donor = servers.at(donorId);
  ServerState& recovering = servers.at(recoveringId);
  const double mean = load_.meanLoad();
  if (now < donor.migrations.nextMigrationOffAt || load_.projectedLoad(donor) <= mean) return false;
  if (load_.projectedLoad(recovering, coolestSlice) > mean) return false;
  const auto target = [&](const SliceState& slice) {
    const bool fits = load_.projectedLoad(recovering, slice.heat) <= mean &&
                      slowStart_.canAbsorb(recovering, slice.heat, load_.fleetScale());
    return fits ? recoveringId : ServerId{};
  };
  if (!migrator_.migrateOneSliceFrom(servers, slices, donorId, "recovering", target)) return false;
  recovering.migrations.lastFilledAt = now;
  donor.migrations.nextMigrationOffAt = now + kFillInterval;
  return true;
}

}  // namespace peargrade::decision
