#include "scale/collector_worker.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "clients/frame_decoder.h"
#include "scale/fleet_layout.h"

namespace peargrade::scale {
namespace {

constexpr Micros kTickInterval = 20000;  // each tick sends the reports for some of the supervisors

}  // namespace

CollectorWorker::CollectorWorker(event_base* base, const Scenario& scenario)
    : scenario_(scenario),
      base_(base),
      targets_(static_cast<std::size_t>(scenario.sizes.supervisors)),
      random_(scenario.seed),
      frames_(static_cast<std::size_t>(scenario.sizes.zones) *
              static_cast<std::size_t>(scenario.sizes.services)),
      reportedServers_(scenario.reportedServers == 0
                           ? scenario.sizes.servers
                           : std::min(scenario.reportedServers, scenario.sizes.servers)),
      tick_(base, [this] { tick(); }) {
  for (Target& target : targets_) target.connections.resize(static_cast<std::size_t>(scenario.sizes.zones));
  periodStart_ = net::steadyNow();
  tick_.schedule(kTickInterval);
}

void CollectorWorker::connect(Target& target, int zone) {
  auto& connection = target.connections[static_cast<std::size_t>(zone)];
  connection = std::make_unique<fakes::Collector>(base_, target.address);
  const std::string greeting = R"({"type":"telemetry","az":")" + zoneName(zone) + R"("})";
  connection->send(greeting);
  bytesSent_ += 4 + greeting.size();
  ++messagesSent_;
}

// Spreads the targets evenly over a period: each tick sends to those that are due since the last one.
void CollectorWorker::tick() {
  tick_.schedule(kTickInterval);
  const Micros now = net::steadyNow();
  if (nextTarget_ >= targets_.size()) {
    if (now - periodStart_ < scenario_.reportInterval) return;
    // Like a real collector, skips and counts the periods that it cannot keep up with.
    skippedPeriods_ += static_cast<std::uint64_t>((now - periodStart_) / scenario_.reportInterval - 1);
    periodStart_ += (now - periodStart_) / scenario_.reportInterval * scenario_.reportInterval;
    nextTarget_ = 0;
    for (std::string& frames : frames_) frames.clear();
  }
  const double elapsedShare = std::min(1.0, static_cast<double>(now - periodStart_ + kTickInterval) /
                                                static_cast<double>(scenario_.reportInterval));
  const auto dueTargets =
      static_cast<std::size_t>(elapsedShare * static_cast<double>(targets_.size()) + 0.999);
  for (; nextTarget_ < std::min(dueTargets, targets_.size()); ++nextTarget_) {
    Target& target = targets_[nextTarget_];
    if (!target.enabled) continue;
    for (int zone = 0; zone < scenario_.sizes.zones; ++zone) {
      auto& connection = target.connections[static_cast<std::size_t>(zone)];
      if (!connection || connection->ended()) connect(target, zone);
      const std::string& frames = serverReports(zone, serviceOf(scenario_, static_cast<int>(nextTarget_)));
      connection->sendRaw(frames);
      bytesSent_ += frames.size();
      messagesSent_ += static_cast<std::uint64_t>(reportedServers_);
      maxUnsentBytes_ = std::max(maxUnsentBytes_, connection->unsent());
    }
    const std::string slices = sliceReports(static_cast<int>(nextTarget_));
    target.connections.front()->sendRaw(slices);
    bytesSent_ += slices.size();
    messagesSent_ += static_cast<std::uint64_t>(scenario_.sizes.slices);
  }
}

// If all servers are reported, the reports are the same for every service and are built once.
const std::string& CollectorWorker::serverReports(int zone, int service) {
  if (reportedServers_ == scenario_.sizes.servers) service = 0;
  std::string& frames =
      frames_[static_cast<std::size_t>(service) * static_cast<std::size_t>(scenario_.sizes.zones) +
              static_cast<std::size_t>(zone)];
  if (!frames.empty()) return frames;
  const Sizes& sizes = scenario_.sizes;
  const double windowMs = static_cast<double>(scenario_.reportInterval) / 1000;
  const double meanRequests = scenario_.requestsPerSecond / sizes.servers / sizes.zones * windowMs / 1000;
  char body[256];
  for (int k = 0; k < reportedServers_; ++k) {
    const std::string server = serverName(scenario_, serverOf(scenario_, service, k));
    const int requests = static_cast<int>(
        std::lround(meanRequests * (0.8 + 0.4 * std::uniform_real_distribution<>()(random_))));
    const double latencyMs = 80 + 40 * std::uniform_real_distribution<>()(random_);
    std::snprintf(
        body, sizeof body,
        R"({"type":"upstream_stats","az":"%s","host":"%s","n":%d,"bad":0,"avg":%.1f,"window":%.1f})",
        zoneName(zone).c_str(), server.c_str(), requests, latencyMs, windowMs);
    frames += clients::encodeFrame(body);
  }
  return frames;
}

std::string CollectorWorker::sliceReports(int supervisor) {
  const double windowMs = static_cast<double>(scenario_.reportInterval) / 1000;
  const double meanRequests = scenario_.requestsPerSecond / totalSlices(scenario_) * windowMs / 1000;
  std::string frames;
  char body[256];
  for (int k = 0; k < scenario_.sizes.slices; ++k) {
    const int requests = static_cast<int>(
        std::lround(meanRequests * (0.8 + 0.4 * std::uniform_real_distribution<>()(random_))));
    std::snprintf(body, sizeof body,
                  R"({"type":"range_stats","partition":%d,"kind":"%s","n":%d,"bad":0,"window":%.1f})",
                  firstSlice(scenario_, supervisor) + k, k % 2 == 0 ? "lookup" : "order", requests, windowMs);
    frames += clients::encodeFrame(body);
  }
  return frames;
}

Measurements CollectorWorker::sample() {
  Measurements values;
  const ResourceUsage usage = ownResourceUsage();
  values["cpu_s"] = {usage.cpuSeconds};
  values["resident_bytes"] = {static_cast<double>(usage.residentBytes)};
  values["state_bytes"] = {static_cast<double>(heapBytes())};
  values["reports_out_bytes"] = {static_cast<double>(bytesSent_)};
  values["reports_out_messages"] = {static_cast<double>(messagesSent_)};
  values["late_periods"] = {static_cast<double>(skippedPeriods_)};
  values["unsent_most"] = {static_cast<double>(maxUnsentBytes_)};
  values["state_entries"] = {
      static_cast<double>(targets_.size() * static_cast<std::size_t>(scenario_.sizes.zones))};
  return values;
}

Measurements CollectorWorker::handle(const Command& command) {
  const std::string& verb = command.at(0);
  if (verb == "dial") {
    Target& target = targets_.at(std::stoul(command.at(1)));
    target.address = {command.at(2), static_cast<std::uint16_t>(std::stoi(command.at(3)))};
    target.enabled = true;
    for (int zone = 0; zone < scenario_.sizes.zones; ++zone) connect(target, zone);
    return {};
  }
  if (verb == "gone") {
    Target& target = targets_.at(std::stoul(command.at(1)));
    target.enabled = false;
    for (auto& connection : target.connections) connection.reset();
    return {};
  }
  if (verb == "connected") {
    double connected = 0;
    double expected = 0;
    for (const Target& target : targets_) {
      if (!target.enabled) continue;
      for (const auto& connection : target.connections) {
        ++expected;
        connected += connection && connection->up();
      }
    }
    return {{"connected", {connected}}, {"of", {expected}}};
  }
  if (verb == "sample") return sample();
  throw WorkerError("unknown command of the collector worker: '" + verb + "'");
}

}  // namespace peargrade::scale
