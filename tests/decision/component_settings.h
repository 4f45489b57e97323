// Settings, servers and slices for tests of single components of the decision engine.
#pragma once

#include <vector>

#include "decision/clock.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Settings with two request classes: latency objectives of 1 s and 2 s, priority weights of 1 and 3.
inline Settings componentSettings() {
  Settings settings;
  RequestClass low;
  low.latencyObjective = kSecond;
  low.idempotency = Idempotency::Idempotent;
  RequestClass high = low;
  high.latencyObjective = 2 * kSecond;
  high.priorityWeight = 3;
  settings.classes = {low, high};
  settings.slices = 10;
  settings.reportInterval = 500 * kMillisecond;
  settings.slowStartWindow = 20 * kSecond;
  settings.initialCapacity = 0.2;
  settings.overloadFactor = 2;
  settings.attemptTimeoutObjectives = 0.8;
  return settings;
}

/// A server that is listed, ready and confirmed.
inline ServerState usableServer(int zone = 0) {
  ServerState server;
  server.endpoint.zone = zone;
  server.isListed = true;
  server.isConfirmed = true;
  return server;
}

/// A slice that was assigned long ago and whose desired route to its primary server is published.
inline SliceState publishedSlice(const ServerId& primary) {
  SliceState slice(0, componentSettings().classes.size());
  slice.primary = primary;
  slice.initialPrimary = primary;
  slice.desired = {{primary, 1}};
  slice.published.insert_or_assign(primary, PublishedRoute::delivered(1));
  return slice;
}

}  // namespace peargrade::decision
