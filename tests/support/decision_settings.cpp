#include "support/decision_settings.h"

namespace peargrade {
namespace {

RequestClass requestClass(Micros latencyObjective, double priorityWeight, Idempotency idempotency) {
  RequestClass requestClass;
  requestClass.latencyObjective = latencyObjective;
  requestClass.deadline = 2500 * kMillisecond;
  requestClass.priorityWeight = priorityWeight;
  requestClass.idempotency = idempotency;
  requestClass.isWrite = idempotency == Idempotency::NonIdempotent;
  return requestClass;
}

}  // namespace

Settings deploymentSettings() {
  Settings settings;
  settings.attemptTimeoutObjectives = 0.8;
  settings.messageOverheadRoutes = 8;
  settings.messagesPerProxyMax = 20;
  settings.messageWindow = 10 * kSecond;
  settings.pushDelay = 300 * kMillisecond;
  settings.pushDelayMax = 800 * kMillisecond;
  settings.reportInterval = 500 * kMillisecond;
  settings.unroutableMax = 5 * kSecond;
  settings.drainGrace = 2 * kSecond;
  settings.pollDeadline = 10 * kSecond;
  settings.initialCapacity = 0.15;
  settings.slowStartWindow = 16 * kSecond;
  settings.overloadFactor = 2.5;
  settings.overloadDurationMax = 2 * kSecond;
  return settings;
}

Settings testSettings() {
  Settings settings = deploymentSettings();
  settings.classes = {requestClass(800 * kMillisecond, 1, Idempotency::Idempotent),
                      requestClass(1600 * kMillisecond, 6, Idempotency::Idempotent),
                      requestClass(1600 * kMillisecond, 6, Idempotency::NonIdempotent)};
  settings.slices = 24;
  settings.routesPerSecond = 30000;
  settings.pendingRoutesMax = 30000;
  return settings;
}

}  // namespace peargrade
