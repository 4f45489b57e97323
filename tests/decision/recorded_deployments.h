// The simulated deployments for which behaviour_test.cpp holds recorded decisions.
#pragma once

#include <string>
#include <vector>

#include "peargrade/settings.h"

namespace peargrade::test {

/// Settings and size of one simulated fleet.
struct Deployment {
  std::string name;
  Settings settings;
  int servers = 16;
  int zones = 2;
  int proxies = 40;
  int ownedSlices = 32;         // of settings.slices; 0 where tables are per proxy
  double traffic = 1;           // factor on the request rates of the slices
  Micros firstList = 300000;    // from the start to the first endpoint list, in microseconds
  bool erraticReports = false;  // load reports are random instead of simulated
};

/// Deployments that together cover the engine's modes: shared and single-owner slices, tables per proxy,
/// health checks, endpoint lists that are pushed or requested, advisory removals, update channels of low and
/// high throughput.
std::vector<Deployment> recordedDeployments();

}  // namespace peargrade::test
