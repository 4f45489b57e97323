#include "sources/sources.h"

#include <algorithm>

namespace peargrade::sources {
namespace {

constexpr std::size_t kLinesMost = 20;  // in the log for one news; the rest is counted
constexpr Micros kConfirmParts = 3;     // a second answer is asked for after this part of the time for it

const char* wordOf(EndpointState state) {
  return state == EndpointState::Ready ? "ready" : state == EndpointState::Draining ? "draining" : "gone";
}
const char* wordOf(dns::Service::Kind kind) {
  return kind == dns::Service::Kind::Complete  ? "complete"
         : kind == dns::Service::Kind::Partial ? "partial"
                                               : "failed";
}

}  // namespace

std::vector<bool> authorityOf(const op::Operator& op) {
  std::vector<bool> authority(op.srv.size(), false);
  for (const op::Zone& zone : op.zones) authority.push_back(zone.authority);
  return authority;
}

std::vector<membership::RosterEntry> withEndpoints(const EndpointListUpdate& news,
                                                   const std::vector<std::string>& endpoints) {
  std::vector<membership::RosterEntry> entries;
  entries.reserve(news.endpoints.size());
  for (std::size_t k = 0; k < news.endpoints.size(); ++k)
    entries.push_back({news.endpoints[k], k < endpoints.size() ? endpoints[k] : ""});
  return entries;
}

Sources::Watch::Watch(Sources& owner, std::size_t number, const op::Srv& srv)
    : number(number),
      srv(srv),
      places(srv.places, *owner.around_.names),
      schedule(owner.around_.op->dns),
      again(owner.around_.base, [this, &owner] { owner.look(*this); }) {}

Sources::Sources(const Dependencies& around, dns::Resolver::Random random)
    : around_(around),
      random_(std::move(random)),
      resolver_(around.base, around.op->dns, around.clock, random_, *around.log),
      membership_(around.op->merge, authorityOf(*around.op), around.op->roster,
                  withEndpoints(*around.known, *around.knownEndpoints), around.clock()),
      turn_(around.base, [this] { settle(); }) {
  std::size_t number = 0;
  for (const op::Srv& srv : around_.op->srv) {
    watches_.emplace_back(*this, number++, srv);
    watches_.back().again.schedule(0);
    labels_.push_back("srv " + srv.label);
  }
  if (!around_.op->zones.empty()) worker_ = std::make_unique<zone_server::Worker>(around_.base);
  const zone_server::Context zoneContext{around_.base, around_.names, around_.log, around_.clock,
                                         around_.op->merge.firstAnswerWarm};
  for (const op::Zone& zone : around_.op->zones) {
    zones_.emplace_back(zoneContext, zone, number++, *worker_,
                        [this](const membership::Observation& o) { observe(o); });
    labels_.push_back("zone " + zone.label);
  }
  if (!around_.op->roster) {
    // Nobody else answers the module's wish for the list.
    around_.exchange->onEndpointListRequest([this](dispatch::Dispatcher::EndpointListRequest call) {
      if (call == dispatch::Dispatcher::EndpointListRequest::Unwatch) return;
      membership_.wanted();
      settleSoon();
    });
  }
  settleSoon();
}

Sources::~Sources() {
  worker_.reset();  // its thread ends before what its jobs speak of
  if (!around_.op->roster) around_.exchange->onEndpointListRequest(nullptr);
}

void Sources::observe(const membership::Observation& o) {
  membership_.observe(o, around_.clock());
  if (!around_.op->roster && !known_) {
    known_ = true;
    around_.exchange->endpointListKnown();
  }
  settle();
}

void Sources::reload() {
  for (zone_server::ZoneSource& zone : zones_) zone.reload();
}

bool Sources::askedAll() const {
  const bool zones =
      std::all_of(zones_.begin(), zones_.end(), [](const zone_server::ZoneSource& z) { return z.ready(); });
  if (!zones) return false;
  return std::all_of(watches_.begin(), watches_.end(), [](const Watch& w) { return w.asked; });
}

void Sources::look(Watch& watch) {
  resolver_.lookup(
      watch.srv.name, [this, &watch](const dns::Service& service) { took(watch, service); },
      membership_.confirming());
}

void Sources::took(Watch& watch, const dns::Service& service) {
  const Micros now = around_.clock();
  std::size_t misplaced = 0;
  if (service.kind != dns::Service::Kind::Failed)
    membership_.observe(observed(service, watch.number, watch.places, misplaced), now);
  if (service.kind != watch.said || !watch.asked) {
    log::Line line = around_.log->line(
        service.kind == dns::Service::Kind::Complete ? log::Level::Info : log::Level::Warn, "sources");
    line << "srv " << watch.srv.label << ": " << wordOf(service.kind)
         << " code=" << dns::nameOf(service.verdict) << ", " << service.targets.size() << " targets";
  }
  if (misplaced > 0 && misplaced != watch.misplaced)
    around_.log->warn("sources") << "srv " << watch.srv.label << ": " << misplaced
                                 << " addresses left out code=no-place";
  watch.said = service.kind;
  watch.misplaced = misplaced;
  watch.asked = true;
  if (service.kind == dns::Service::Kind::Complete && !around_.op->roster && !known_) {
    known_ = true;
    around_.exchange->endpointListKnown();
  }
  settle();
  const double chance = static_cast<double>(random_()) / 4294967296.0;
  const Micros soonest = membership_.confirming() ? around_.op->merge.confirmWithin / kConfirmParts : 0;
  watch.again.schedule(watch.schedule.after(service, now, chance, soonest));
}

void Sources::roster(const EndpointListUpdate& news, const std::vector<std::string>& endpoints) {
  membership_.roster(news.kind, withEndpoints(news, endpoints), around_.clock());
  settle();
}

void Sources::settle() {
  const Micros now = around_.clock();
  // Told when it begins and at each doubling.
  if (membership_.overfull() > 2 * overfull_) {
    overfull_ = membership_.overfull();
    around_.log->warn("sources") << overfull_ << " servers left out code=overfull, "
                                 << around_.op->merge.serversMost << " are held";
  }
  if (auto news = membership_.settle(now)) {
    std::size_t lines = 0;
    for (const membership::Decision& d : news->decisions) {
      if (++lines > kLinesMost) continue;
      around_.log->info("sources") << d.server << " " << wordOf(d.state)
                                   << " code=" << membership::codeOf(d.rule);
    }
    if (lines > kLinesMost) around_.log->info("sources") << "and " << lines - kLinesMost << " more servers";
    around_.exchange->post(std::move(news->list));
  }
  if (const auto due = membership_.due())
    turn_.schedule(*due - now);
  else
    turn_.cancel();
}

void Sources::explain() {
  const Micros now = around_.clock();
  for (const auto& e : membership_.explain(now)) {
    log::Line line = around_.log->info("sources");
    line << e.server << (e.listed ? " is " : " is not listed, ") << (e.listed ? wordOf(e.state) : "")
         << " code=" << membership::codeOf(e.rule);
    if (e.until > now) line << " for " << (e.until - now) / 1000 << " ms";
    line << "; roster: " << (e.roster.empty() ? "nothing" : e.roster);
    for (std::size_t k = 0; k < e.records.size(); ++k) line << "; " << labels_[k] << ": " << e.records[k];
  }
  const auto& c = resolver_.counts();
  around_.log->info("sources") << membership_.listed() << " listed, " << membership_.ready() << " ready; "
                               << c.asked << " questions asked, " << c.answered << " answered, " << c.failed
                               << " failed, " << c.stale << " served stale, " << c.tcp << " over TCP, "
                               << c.strangers << " strangers ignored";
}

}  // namespace peargrade::sources
