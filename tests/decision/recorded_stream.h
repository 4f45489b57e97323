// A generated stream of events for the decision module, and a hash over what the module decides on it. The
// stream depends on its seed and on the module's own actions only, so two modules that decide alike get the
// same stream and the same hash.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::test {

/// One deployment to play: its settings and the size of the simulated fleet.
struct Deployment {
  std::string name;
  Settings settings;
  int servers = 16;
  int zones = 2;
  int proxies = 40;
  int ownedSlices = 32;         // of settings.slices; 0 where tables are per proxy
  double traffic = 1;           // requests of a slice against the usual ones
  Micros firstList = 300000;    // from the start to the first endpoint list, in microseconds
  bool erraticReports = false;  // load reports are drawn, not simulated
};

/// Deployments that differ in what decides on the module's paths: shared and single-owner slices, no slices,
/// health checks, lists that are watched or polled, lists that are only advice, narrow and wide update
/// channels.
std::vector<Deployment> recordedDeployments();

/// Plays `span` microseconds of the deployment on `seed` and returns a hash over every action but the texts
/// of `Log`. The values of all fields are folded in their order, so renaming a field does not change the
/// hash.
std::uint64_t actionHash(const Deployment& deployment, std::uint64_t seed, Micros span);

}  // namespace peargrade::test
