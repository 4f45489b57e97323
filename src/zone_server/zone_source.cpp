#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

ZoneSource::ZoneSource(const Context& around, const op::Zone& zone, std::size_t number, Worker& worker,
                       Observe observe)
    : around_(around),
      op_(zone),
      number_(number),
      worker_(worker),
      observe_(std::move(observe)),
      places_(zone.places, *around.names),
      disk_(std::make_shared<DiskStore>()),
      watch_(around.base, [this] { look(false); }),
      publishSoon_(around.base, [this] { publish(); }),
      retry_(around.base, [this] { compact(); }),
      listenAgain_(around.base, [this] { listen(); }) {
  load();
}

ZoneSource::~ZoneSource() = default;

dns_zone::UpdateProcessorSettings ZoneSource::settings() const {
  dns_zone::UpdateProcessorSettings s;
  s.remembered = op_.remembered;
  s.pending = op_.pending;
  for (const op::Grant& g : op_.grants) {
    dns_zone::Grant grant{g.key, g.name, {}};
    for (const std::string& type : g.types) {
      if (const auto t = dns_zone::typeNamed(type)) grant.types.insert(*t);
    }
    s.grants.push_back(std::move(grant));
  }
  return s;
}

// The store first, then the file: what was accepted goes before what a file says.
void ZoneSource::load() {
  worker_.run([this, disk = disk_, op = op_, alive = std::weak_ptr<bool>(alive_)]() -> Worker::Done {
    const auto stored = std::make_shared<StoredZone>(openStore(op, *disk));
    return [this, alive, stored] {
      if (!alive.expired()) loaded(*stored);
    };
  });
}

void ZoneSource::loaded(StoredZone& stored) {
  loaded_ = true;
  for (const std::string& e : stored.errors)
    around_.log->error("zones") << op_.label << ": " << e << " code=store";
  for (const std::string& n : stored.notes)
    around_.log->warn("zones") << op_.label << ": " << n << " code=recovery";
  broken_ = stored.damaged;
  if (stored.snapshot) restore(stored);
  if (!op_.state.empty() && !broken_ && processor_) compact();
  if (!op_.file.empty() && (!op_.listen || !processor_)) look(true);
  if (op_.file.empty() && op_.primaries.empty() && !processor_ && op_.listen && !broken_)
    take(emptyZone(), dns_zone::SerialVerdict::First);
  if (stored.snapshot) freshAt_ = freshStored_ = stored.snapshot->freshAt;
  if (op_.listen) listen();
  if (!op_.primaries.empty()) follow();
}

// The zone as the store has it: its snapshot, and the changes behind that carried out.
void ZoneSource::restore(StoredZone& stored) {
  dns_zone::Zone zone = std::move(stored.snapshot->zone);
  std::vector<dns_zone::AnsweredRequest> requests = std::move(stored.snapshot->requests);
  const auto offered = [&] {
    return observeZone(zone, op_.services, places_, *around_.names, number_, 0, kForEver);
  };
  std::vector<dns_zone::EndpointSince> firstSeen = std::move(stored.snapshot->firstSeen);
  std::set<std::string> there = offered().endpoints;
  std::map<std::string, Micros> changed;  // targets, and when a change behind the snapshot last named them
  for (dns_zone::JournalEntry& entry : stored.entries) {
    dns_zone::redo(zone, entry.change);
    addDrained(entry.change, drained_);
    addTargets(entry.change, entry.request.at * 1000000, changed);
    requests.push_back(std::move(entry.request));
  }
  for (const membership::Sighting& s : offered().observation.seen) {
    const auto at = changed.find(s.name);
    if (there.insert(s.endpoint).second)
      firstSeen.push_back({s.endpoint, at == changed.end() ? around_.clock() : at->second});
  }
  firstSeen_.restore(there, firstSeen);
  around_.log->info("zones") << op_.label << ": serial " << zone.serial() << ", " << zone.records()
                             << " records from the store, " << stored.entries.size()
                             << " changes behind its snapshot";
  processor_ = std::make_unique<dns_zone::UpdateProcessor>(std::move(zone), std::move(requests), settings());
  publishSoon_.schedule(0);
}

// A zone with an SOA alone, which updates fill.
dns_zone::Zone ZoneSource::emptyZone() const {
  dns_zone::Zone empty(op_.origin);
  const std::string words[] = {op_.origin, "hostmaster." + op_.origin, "1", "3600", "600", "86400", "60"};
  dns_zone::Record soa{op_.origin, dns_zone::Type::SOA, 60, ""};
  for (std::size_t k = 0; k < 7; ++k) soa.data += *dns_zone::encodeField(dns_zone::Type::SOA, k, words[k]);
  empty.add(soa);
  return empty;
}

void ZoneSource::take(dns_zone::Zone zone, dns_zone::SerialVerdict verdict) {
  if (busy_) {
    next_ = std::move(zone);
    nextVerdict_ = verdict;
    return;
  }
  around_.log->info("zones") << op_.label << ": serial " << zone.serial() << ", " << zone.records()
                             << " records taken code=" << dns_zone::codeOf(verdict);
  if (!processor_)
    processor_ = std::make_unique<dns_zone::UpdateProcessor>(
        std::move(zone), std::vector<dns_zone::AnsweredRequest>{}, settings());
  else
    processor_->replace(std::move(zone));
  publishSoon_.schedule(0);
  if (!op_.state.empty() && !broken_) compact();
}

void ZoneSource::reload() {
  if (!loaded_) return;
  if (op_.listen) listen();
  if (!op_.file.empty() && !op_.listen) look(true);
}

}  // namespace peargrade::zone_server
