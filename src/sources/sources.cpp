#include "sources/sources.h"

#include <algorithm>

namespace peargrade::sources {
namespace {

// Decisions of one reconciliation that are logged one by one; the rest is only counted.
constexpr std::size_t kMaxDecisionLines = 20;
// While the membership awaits a confirming answer, lookups are at most this fraction of the confirmation
// timeout apart (1/3).
constexpr Micros kConfirmationLookupDivisor = 3;

const char* stateName(EndpointState state) {
  return state == EndpointState::Ready ? "ready" : state == EndpointState::Draining ? "draining" : "gone";
}
const char* kindName(dns::Service::Kind kind) {
  return kind == dns::Service::Kind::Complete  ? "complete"
         : kind == dns::Service::Kind::Partial ? "partial"
                                               : "failed";
}

}  // namespace

std::vector<bool> zoneAuthority(const op::Operator& op) {
  std::vector<bool> authority(op.srv.size(), false);
  for (const op::Zone& zone : op.zones) authority.push_back(zone.authority);
  return authority;
}

std::vector<membership::RosterEntry> rosterEntries(const EndpointListUpdate& update,
                                                   const std::vector<std::string>& endpoints) {
  std::vector<membership::RosterEntry> entries;
  entries.reserve(update.endpoints.size());
  for (std::size_t k = 0; k < update.endpoints.size(); ++k)
    entries.push_back({update.endpoints[k], k < endpoints.size() ? endpoints[k] : ""});
  return entries;
}

Sources::WatchedService::WatchedService(Sources& owner, std::size_t sourceIndex, const op::Srv& settings)
    : sourceIndex(sourceIndex),
      settings(settings),
      localities(settings.places, *owner.dependencies_.names),
      schedule(owner.dependencies_.op->dns),
      lookupTimer(owner.dependencies_.base, [this, &owner] { owner.startLookup(*this); }) {}

Sources::Sources(const Dependencies& dependencies, dns::Resolver::Random random)
    : dependencies_(dependencies),
      random_(std::move(random)),
      resolver_(dependencies.base, dependencies.op->dns, dependencies.clock, random_, *dependencies.log),
      membership_(dependencies.op->merge, zoneAuthority(*dependencies.op), dependencies.op->roster,
                  rosterEntries(*dependencies.cachedList, *dependencies.cachedAddresses),
                  dependencies.clock()),
      reconcileTimer_(dependencies.base, [this] { reconcile(); }) {
  std::size_t sourceIndex = 0;
  for (const op::Srv& srv : dependencies_.op->srv) {
    services_.emplace_back(*this, sourceIndex++, srv);
    services_.back().lookupTimer.schedule(0);
    labels_.push_back("srv " + srv.label);
  }
  if (!dependencies_.op->zones.empty()) worker_ = std::make_unique<zone_server::Worker>(dependencies_.base);
  const std::size_t zoneCount = std::max<std::size_t>(1, dependencies_.op->zones.size());
  const zone_server::Context zoneContext{dependencies_.base,
                                         dependencies_.names,
                                         dependencies_.log,
                                         dependencies_.clock,
                                         dependencies_.op->merge.firstResponseIsWarm,
                                         dependencies_.zoneMemory / zoneCount};
  for (const op::Zone& zone : dependencies_.op->zones) {
    zones_.emplace_back(zoneContext, zone, sourceIndex++, *worker_,
                        [this](const membership::Observation& observation) { observe(observation); });
    labels_.push_back("zone " + zone.label);
  }
  if (!dependencies_.op->roster) {
    // Without discovery, requests of the decision engine for the list are answered here.
    dependencies_.dispatcher->onEndpointListRequest(
        [this](dispatch::Dispatcher::EndpointListRequest request) {
          if (request == dispatch::Dispatcher::EndpointListRequest::Unwatch) return;
          membership_.requestFullList();
          scheduleReconcile();
        });
  }
  scheduleReconcile();
}

Sources::~Sources() {
  worker_.reset();  // joins its thread before the objects that its jobs refer to are destroyed
  if (!dependencies_.op->roster) dependencies_.dispatcher->onEndpointListRequest(nullptr);
}

void Sources::observe(const membership::Observation& observation) {
  membership_.applyRecords(observation, dependencies_.clock());
  if (!dependencies_.op->roster && !listAnnounced_) {
    listAnnounced_ = true;
    dependencies_.dispatcher->endpointListKnown();
  }
  reconcile();
}

void Sources::reload() {
  for (zone_server::ZoneSource& zone : zones_) zone.reload();
}

bool Sources::allSourcesQueried() const {
  const bool zonesReady =
      std::all_of(zones_.begin(), zones_.end(), [](const zone_server::ZoneSource& z) { return z.ready(); });
  if (!zonesReady) return false;
  return std::all_of(services_.begin(), services_.end(), [](const WatchedService& w) { return w.queried; });
}

void Sources::startLookup(WatchedService& watched) {
  resolver_.lookup(
      watched.settings.name,
      [this, &watched](const dns::Service& service) { handleLookupResult(watched, service); },
      membership_.awaitsConfirmation());
}

void Sources::handleLookupResult(WatchedService& watched, const dns::Service& service) {
  const Micros now = dependencies_.clock();
  std::size_t unmappedAddresses = 0;
  if (service.kind != dns::Service::Kind::Failed)
    membership_.applyRecords(
        toObservation(service, watched.sourceIndex, watched.localities, unmappedAddresses), now);
  if (service.kind != watched.lastKind || !watched.queried) {
    log::Line line = dependencies_.log->line(
        service.kind == dns::Service::Kind::Complete ? log::Level::Info : log::Level::Warn, "sources");
    line << "srv " << watched.settings.label << ": " << kindName(service.kind)
         << " code=" << dns::nameOf(service.verdict) << ", " << service.targets.size() << " targets";
  }
  if (unmappedAddresses > 0 && unmappedAddresses != watched.unmappedAddresses)
    dependencies_.log->warn("sources") << "srv " << watched.settings.label << ": " << unmappedAddresses
                                       << " addresses left out code=no-place";
  watched.lastKind = service.kind;
  watched.unmappedAddresses = unmappedAddresses;
  watched.queried = true;
  if (service.kind == dns::Service::Kind::Complete && !dependencies_.op->roster && !listAnnounced_) {
    listAnnounced_ = true;
    dependencies_.dispatcher->endpointListKnown();
  }
  reconcile();
  const double jitter = static_cast<double>(random_()) / 4294967296.0;
  const Micros latestWait = membership_.awaitsConfirmation()
                                ? dependencies_.op->merge.confirmationTimeout / kConfirmationLookupDivisor
                                : 0;
  watched.lookupTimer.schedule(watched.schedule.after(service, now, jitter, latestWait));
}

void Sources::roster(const EndpointListUpdate& update, const std::vector<std::string>& endpoints) {
  membership_.applyRoster(update.kind, rosterEntries(update, endpoints), dependencies_.clock());
  reconcile();
}

void Sources::reconcile() {
  const Micros now = dependencies_.clock();
  // Logged at the first rejection, and again each time the total of rejections has more than doubled.
  if (membership_.rejectedServers() > 2 * loggedRejectedServers_) {
    loggedRejectedServers_ = membership_.rejectedServers();
    dependencies_.log->warn("sources") << loggedRejectedServers_ << " servers left out code=overfull, limit "
                                       << dependencies_.op->merge.serversMax;
  }
  if (auto update = membership_.reconcile(now)) {
    std::size_t lineCount = 0;
    for (const membership::Decision& decision : update->decisions) {
      if (++lineCount > kMaxDecisionLines) continue;
      dependencies_.log->info("sources") << decision.server << " " << stateName(decision.state)
                                         << " code=" << membership::codeOf(decision.rule);
    }
    if (lineCount > kMaxDecisionLines)
      dependencies_.log->info("sources")
          << lineCount - kMaxDecisionLines << " more servers changed, not logged one by one";
    dependencies_.dispatcher->post(std::move(update->list));
  }
  if (const auto due = membership_.nextReconcile())
    reconcileTimer_.schedule(*due - now);
  else
    reconcileTimer_.cancel();
}

void Sources::explain() {
  const Micros now = dependencies_.clock();
  for (const auto& explanation : membership_.explain(now)) {
    log::Line line = dependencies_.log->info("sources");
    line << explanation.server << (explanation.listed ? " is " : " is not listed, ")
         << (explanation.listed ? stateName(explanation.state) : "")
         << " code=" << membership::codeOf(explanation.rule);
    if (explanation.until > now) line << " for " << (explanation.until - now) / 1000 << " ms";
    line << "; roster: " << (explanation.roster.empty() ? "nothing" : explanation.roster);
    for (std::size_t k = 0; k < explanation.records.size(); ++k)
      line << "; " << labels_[k] << ": " << explanation.records[k];
  }
  const auto& counts = resolver_.counts();
  dependencies_.log->info("sources") << membership_.listedCount() << " listed, " << membership_.readyCount()
                                     << " ready; " << counts.asked << " questions asked, " << counts.answered
                                     << " answered, " << counts.failed << " failed, " << counts.stale
                                     << " served stale, " << counts.tcp << " over TCP, " << counts.strangers
                                     << " unexpected replies ignored";
}

}  // namespace peargrade::sources
