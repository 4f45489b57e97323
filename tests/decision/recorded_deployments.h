// The deployments whose decisions are recorded.
#pragma once

#include <string>
#include <vector>

#include "peargrade/settings.h"

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

}  // namespace peargrade::test
