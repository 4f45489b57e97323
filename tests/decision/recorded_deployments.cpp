#include "recorded_deployments.h"

#include "support/decision_settings.h"

namespace peargrade::test {
namespace {

RequestClass requestClass(Micros latencyObjective, double priorityWeight, Idempotency idempotency) {
  RequestClass requestClass;
  requestClass.latencyObjective = latencyObjective;
  requestClass.deadline = 3 * latencyObjective;
  requestClass.priorityWeight = priorityWeight;
  requestClass.idempotency = idempotency;
  requestClass.isWrite = idempotency != Idempotency::Idempotent;
  return requestClass;
}

Settings sharedSlices() {
  Settings settings = deploymentSettings();
  settings.classes = {requestClass(800 * kMillisecond, 1, Idempotency::Idempotent),
                      requestClass(1600 * kMillisecond, 6, Idempotency::WithIdempotencyKey),
                      requestClass(1200 * kMillisecond, 3, Idempotency::NonIdempotent)};
  settings.supervisors = 3;
  settings.slices = 96;
  settings.proxies = 60;
  settings.routesPerSecond = 9000;
  settings.pendingRoutesMax = 6000;
  settings.deliveryReported = true;
  return settings;
}

}  // namespace

std::vector<Deployment> recordedDeployments() {
  std::vector<Deployment> deployments;

  deployments.push_back({"SharedSlices", sharedSlices(), 18, 3, 40, 36});

  Deployment polled{"PolledAdvisoryList", sharedSlices(), 14, 2, 24, 28};
  polled.settings.endpointsOnRequest = true;
  polled.settings.removalIsAdvisory = true;
  polled.settings.endpointsHaveWeights = true;
  polled.settings.routesPerSecond = 700;
  polled.settings.pendingRoutesMax = 2400;
  polled.settings.slices = 28;
  polled.settings.admissionUnit = AdmissionUnit::Ratio;
  deployments.push_back(polled);

  Deployment singleOwner{"SingleOwnerSlices", sharedSlices(), 12, 2, 16, 24};
  singleOwner.settings.sliceOwnership = SliceOwnership::SingleOwner;
  singleOwner.settings.slices = 48;
  singleOwner.settings.lease = 3 * kSecond;
  singleOwner.settings.inFlightWriteMax = 700 * kMillisecond;
  singleOwner.settings.admissionUnit = AdmissionUnit::Unsupported;
  singleOwner.settings.pendingRoutesMax = 60000;
  deployments.push_back(singleOwner);

  Deployment healthChecked{"HealthChecks", sharedSlices(), 16, 2, 20, 40};
  healthChecked.settings.healthChecksAllowed = true;
  healthChecked.settings.deliveryReported = false;
  healthChecked.settings.slices = 40;
  healthChecked.firstList = 2 * kSecond;
  healthChecked.settings.proxies = 0;
  healthChecked.settings.messagesPerProxyMax = 12;
  healthChecked.settings.pendingRoutesMax = 1e9;
  deployments.push_back(healthChecked);

  Deployment lowTraffic{"LittleTraffic", sharedSlices(), 20, 2, 12, 101};
  lowTraffic.settings.slices = 101;
  lowTraffic.settings.removalIsAdvisory = true;
  lowTraffic.traffic = 0.04;
  lowTraffic.firstList = 3 * kSecond;
  deployments.push_back(lowTraffic);

  Deployment erratic{"ErraticReports", sharedSlices(), 14, 3, 10, 40};
  erratic.settings.slices = 80;
  erratic.erraticReports = true;
  deployments.push_back(erratic);

  Deployment proxies{"ProxyTables", sharedSlices(), 10, 2, 12, 0};
  proxies.settings.slices = 0;
  proxies.settings.attemptTimeoutObjectives = 1.5;
  proxies.settings.deliveryReported = false;
  deployments.push_back(proxies);

  return deployments;
}

}  // namespace peargrade::test
