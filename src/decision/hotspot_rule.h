// The hotspot rule: migrates slices off hot servers, one at a time. It follows the write-load decider of
// "Avoiding and Correcting Hotspots: How Elasticsearch Serverless Balances Shards"; see docs/design.md.
#pragma once

#include "decision/load_estimator.h"
#include "decision/migrator.h"
#include "decision/placement.h"
#include "decision/pressure_estimator.h"
#include "decision/random.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// A server is hot after several consecutive reports in which its latency exceeds a multiple of its own
/// minimum and its heat exceeds its fair share by weight. Each hot server loses at most one slice per period,
/// to a server below the mean load. No slice migrates while all usable servers are hot or the fleet is
/// overloaded.
class HotspotRule {
 public:
  HotspotRule(const Settings& settings, const Clock& clock, const SlowStart& slowStart,
              const LoadEstimator& load, const PressureEstimator& pressure, Placement& placement,
              Migrator& migrator, Random& random)
      : settings_(settings),
        clock_(clock),
        slowStart_(slowStart),
        load_(load),
        pressure_(pressure),
        placement_(placement),
        migrator_(migrator),
        random_(random) {}

  /// Evaluates the latest report of each server. Called once for each decision, before relieve().
  void detect(ServerMap& servers);
  /// Migrates at most one slice off each hot server.
  void relieve(ServerMap& servers, SliceMap& slices);

 private:
  [[nodiscard]] static bool isSlow(const ServerState& server, double fleetPressure);
  [[nodiscard]] bool isTarget(const ServerState& server, const SliceState& slice) const;

  const Settings& settings_;
  const Clock& clock_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  const PressureEstimator& pressure_;
  Placement& placement_;
  Migrator& migrator_;
  Random& random_;
};

}  // namespace peargrade::decision
