#include "scale/collectorpart.h"

#include <algorithm>
#include <cstdio>

#include "clients/frame_decoder.h"
#include "scale/world.h"

namespace peargrade::scale {
namespace {

constexpr Micros kTick = 20000;  // supervisors are reported to by turns, some at each tick

}  // namespace

CollectorPart::CollectorPart(event_base* base, const Scenario& scenario)
    : scenario_(scenario),
      base_(base),
      targets_(static_cast<std::size_t>(scenario.sizes.supervisors)),
      random_(scenario.seed),
      frames_(static_cast<std::size_t>(scenario.sizes.zones * scenario.sizes.services)),
      reported_(scenario.reported == 0 ? scenario.sizes.servers
                                       : std::min(scenario.reported, scenario.sizes.servers)),
      tick_(base, [this] { tick(); }) {
  for (Target& target : targets_) target.links.resize(static_cast<std::size_t>(scenario.sizes.zones));
  periodFrom_ = net::steadyNow();
  tick_.schedule(kTick);
}

void CollectorPart::dial(Target& target, int zone) {
  auto& link = target.links[static_cast<std::size_t>(zone)];
  link = std::make_unique<fakes::Collector>(base_, target.address);
  const std::string joining = R"({"type":"telemetry","az":")" + zoneName(zone) + R"("})";
  link->send(joining);
  bytes_ += 4 + joining.size();
  ++messages_;
}

// As many targets as the time since the period began covers; a period that all have had gives way to the
// next.
void CollectorPart::tick() {
  tick_.schedule(kTick);
  const Micros now = net::steadyNow();
  if (next_ >= targets_.size()) {
    if (now - periodFrom_ < scenario_.reportsEvery) return;
    // What cannot be kept up with is left out and counted, as a collector would.
    late_ += static_cast<std::uint64_t>((now - periodFrom_) / scenario_.reportsEvery - 1);
    periodFrom_ += (now - periodFrom_) / scenario_.reportsEvery * scenario_.reportsEvery;
    next_ = 0;
    for (std::string& frames : frames_) frames.clear();
  }
  const double part = std::min(
      1.0, static_cast<double>(now - periodFrom_ + kTick) / static_cast<double>(scenario_.reportsEvery));
  const auto upTo = static_cast<std::size_t>(part * static_cast<double>(targets_.size()) + 0.999);
  for (; next_ < std::min(upTo, targets_.size()); ++next_) {
    Target& target = targets_[next_];
    if (!target.there) continue;
    for (int zone = 0; zone < scenario_.sizes.zones; ++zone) {
      auto& link = target.links[static_cast<std::size_t>(zone)];
      if (!link || link->ended()) dial(target, zone);
      const std::string& frames = serverReports(zone, serviceOf(scenario_, static_cast<int>(next_)));
      link->sendRaw(frames);
      bytes_ += frames.size();
      messages_ += static_cast<std::uint64_t>(reported_);
      unsentMost_ = std::max(unsentMost_, link->unsent());
    }
    const std::string slices = sliceReports(static_cast<int>(next_));
    target.links.front()->sendRaw(slices);
    bytes_ += slices.size();
    messages_ += static_cast<std::uint64_t>(scenario_.sizes.slices);
  }
}

// All servers are told to every service alike.
const std::string& CollectorPart::serverReports(int zone, int service) {
  if (reported_ == scenario_.sizes.servers) service = 0;
  std::string& frames = frames_[static_cast<std::size_t>(service * scenario_.sizes.zones + zone)];
  if (!frames.empty()) return frames;
  const Sizes& sizes = scenario_.sizes;
  const double window = static_cast<double>(scenario_.reportsEvery) / 1000;
  const double mean = scenario_.requests / sizes.servers / sizes.zones * window / 1000;
  char body[256];
  for (int k = 0; k < reported_; ++k) {
    const std::string server = serverName(scenario_, serverOf(scenario_, service, k));
    const int n = static_cast<int>(mean * (0.8 + 0.4 * std::uniform_real_distribution<>()(random_)) + 0.5);
    const double took = 80 + 40 * std::uniform_real_distribution<>()(random_);
    std::snprintf(
        body, sizeof body,
        R"({"type":"upstream_stats","az":"%s","host":"%s","n":%d,"bad":0,"avg":%.1f,"window":%.1f})",
        zoneName(zone).c_str(), server.c_str(), n, took, window);
    frames += clients::encodeFrame(body);
  }
  return frames;
}

std::string CollectorPart::sliceReports(int supervisor) {
  const double window = static_cast<double>(scenario_.reportsEvery) / 1000;
  const double mean = scenario_.requests / slicesInAll(scenario_) * window / 1000;
  std::string frames;
  char body[256];
  for (int k = 0; k < scenario_.sizes.slices; ++k) {
    const int n = static_cast<int>(mean * (0.8 + 0.4 * std::uniform_real_distribution<>()(random_)) + 0.5);
    std::snprintf(body, sizeof body,
                  R"({"type":"range_stats","partition":%d,"kind":"%s","n":%d,"bad":0,"window":%.1f})",
                  firstSlice(scenario_, supervisor) + k, k % 2 == 0 ? "lookup" : "order", n, window);
    frames += clients::encodeFrame(body);
  }
  return frames;
}

Figures CollectorPart::sample() {
  Figures f;
  const Spent spent = spentHere();
  f["cpu_s"] = {spent.cpuSeconds};
  f["resident_bytes"] = {static_cast<double>(spent.residentBytes)};
  f["state_bytes"] = {static_cast<double>(heapBytes())};
  f["reports_out_bytes"] = {static_cast<double>(bytes_)};
  f["reports_out_messages"] = {static_cast<double>(messages_)};
  f["late_periods"] = {static_cast<double>(late_)};
  f["unsent_most"] = {static_cast<double>(unsentMost_)};
  f["state_entries"] = {
      static_cast<double>(targets_.size() * static_cast<std::size_t>(scenario_.sizes.zones))};
  return f;
}

Figures CollectorPart::on(const Words& words) {
  const std::string& verb = words.at(0);
  if (verb == "dial") {
    Target& target = targets_.at(std::stoul(words.at(1)));
    target.address = {words.at(2), static_cast<std::uint16_t>(std::stoi(words.at(3)))};
    target.there = true;
    for (int zone = 0; zone < scenario_.sizes.zones; ++zone) dial(target, zone);
    return {};
  }
  if (verb == "gone") {
    Target& target = targets_.at(std::stoul(words.at(1)));
    target.there = false;
    for (auto& link : target.links) link.reset();
    return {};
  }
  if (verb == "connected") {
    double connected = 0, of = 0;
    for (const Target& target : targets_) {
      if (!target.there) continue;
      for (const auto& link : target.links) {
        ++of;
        connected += link && link->up();
      }
    }
    return {{"connected", {connected}}, {"of", {of}}};
  }
  if (verb == "sample") return sample();
  throw Failed("collectors are not asked '" + verb + "'");
}

}  // namespace peargrade::scale
