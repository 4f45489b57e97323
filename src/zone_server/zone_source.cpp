#include "zone_server/zone_source.h"

#include <algorithm>

namespace peargrade::zone_server {
namespace {

// Memory of one remembered request: its key, id and signature, each kept three times. An estimate in bytes.
constexpr std::size_t kRememberedRequestBytes = 512;

}  // namespace

ZoneSource::ZoneSource(const Context& context, const op::Zone& zone, std::size_t sourceIndex, Worker& worker,
                       Observe observe)
    : context_(context),
      zone_(zone),
      sourceIndex_(sourceIndex),
      worker_(worker),
      observe_(std::move(observe)),
      localityMap_(zone.places, *context.names),
      disk_(std::make_shared<DiskStore>()),
      fileCheckTimer_(context.base, [this] { checkFile(false); }),
      publishTimer_(context.base, [this] { publish(); }),
      compactTimer_(context.base, [this] { compact(); }),
      listenRetryTimer_(context.base, [this] { listen(); }) {
  load();
}

ZoneSource::~ZoneSource() = default;

dns_zone::UpdateProcessorSettings ZoneSource::processorSettings() const {
  dns_zone::UpdateProcessorSettings result;
  // Half of the memory is for remembered requests, a quarter each for pending changes and new records.
  result.remembered = std::min(zone_.remembered, context_.updateMemory / 2 / kRememberedRequestBytes);
  result.pending = zone_.pending;
  result.pendingBytes = context_.updateMemory / 4;
  result.growthBytes = context_.updateMemory / 4;
  for (const op::Grant& g : zone_.grants) {
    dns_zone::Grant grant{g.key, g.name, {}};
    for (const std::string& type : g.types) {
      if (const auto t = dns_zone::typeNamed(type)) grant.types.insert(*t);
    }
    result.grants.push_back(std::move(grant));
  }
  return result;
}

// Reads the store before the file: accepted updates take precedence over the file.
void ZoneSource::load() {
  worker_.run(
      [this, disk = disk_, zone = zone_, alive = std::weak_ptr<bool>(alive_)]() -> Worker::Completion {
        const auto stored = std::make_shared<StoredZone>(openStore(zone, *disk));
        return [this, alive, stored] {
          if (!alive.expired()) onStoreLoaded(*stored);
        };
      });
}

void ZoneSource::onStoreLoaded(StoredZone& stored) {
  loaded_ = true;
  for (const std::string& e : stored.errors)
    context_.log->error("zones") << zone_.label << ": " << e << " code=store";
  for (const std::string& n : stored.notes)
    context_.log->warn("zones") << zone_.label << ": " << n << " code=recovery";
  storeUnusable_ = stored.damaged;
  if (stored.snapshot) restore(stored);
  if (!zone_.state.empty() && !storeUnusable_ && processor_) compact();
  if (!zone_.file.empty()) checkFile(true);
  if (zone_.file.empty() && zone_.primaries.empty() && !processor_ && zone_.listen && !storeUnusable_)
    installZone(emptyZone(), dns_zone::SerialVerdict::First);
  if (stored.snapshot) confirmedAt_ = storedConfirmedAt_ = stored.snapshot->freshAt;
  if (zone_.listen) listen();
  if (!zone_.primaries.empty()) startTransfers();
}

// Restores the zone from the snapshot in the store and replays the changes after it.
void ZoneSource::restore(StoredZone& stored) {
  dns_zone::Zone zone = std::move(stored.snapshot->zone);
  std::vector<dns_zone::AnsweredRequest> requests = std::move(stored.snapshot->requests);
  const auto observe = [&] {
    return observeZone(zone, zone_.services, localityMap_, *context_.names, sourceIndex_, 0, kNoExpiry);
  };
  std::vector<dns_zone::EndpointSince> firstSeen = std::move(stored.snapshot->firstSeen);
  std::set<std::string> known = observe().endpoints;
  std::map<std::string, Micros> changed;  // targets, and when a change after the snapshot last added them
  for (dns_zone::JournalEntry& entry : stored.entries) {
    dns_zone::redo(zone, entry.change);
    addDrained(entry.change, drainedHosts_);
    addTargets(entry.change, entry.request.at * 1000000, changed);
    requests.push_back(std::move(entry.request));
  }
  for (const membership::ServiceRecord& s : observe().observation.records) {
    const auto at = changed.find(s.target);
    if (known.insert(s.address).second)
      firstSeen.push_back({s.address, at == changed.end() ? context_.clock() : at->second});
  }
  firstSeen_.restore(known, firstSeen);
  context_.log->info("zones") << zone_.label << ": serial " << zone.serial() << ", " << zone.records()
                              << " records restored from the store, " << stored.entries.size()
                              << " changes after its snapshot";
  processor_ =
      std::make_unique<dns_zone::UpdateProcessor>(std::move(zone), std::move(requests), processorSettings());
  publishTimer_.schedule(0);
}

// A zone with only an SOA record, to be filled by updates.
dns_zone::Zone ZoneSource::emptyZone() const {
  dns_zone::Zone empty(zone_.origin);
  const std::string soaFields[] = {zone_.origin, "hostmaster." + zone_.origin, "1", "3600", "600", "86400",
                                   "60"};
  dns_zone::Record soa{zone_.origin, dns_zone::Type::SOA, 60, ""};
  for (std::size_t k = 0; k < 7; ++k)
    soa.data += *dns_zone::encodeField(dns_zone::Type::SOA, k, soaFields[k]);
  empty.add(soa);
  return empty;
}

void ZoneSource::installZone(dns_zone::Zone zone, dns_zone::SerialVerdict verdict) {
  if (writing_) {
    pendingZone_ = std::move(zone);
    pendingVerdict_ = verdict;
    return;
  }
  context_.log->info("zones") << zone_.label << ": serial " << zone.serial() << ", " << zone.records()
                              << " records in force code=" << dns_zone::codeOf(verdict);
  if (!processor_)
    processor_ = std::make_unique<dns_zone::UpdateProcessor>(
        std::move(zone), std::vector<dns_zone::AnsweredRequest>{}, processorSettings());
  else
    processor_->replace(std::move(zone));
  publishTimer_.schedule(0);
  if (!zone_.state.empty() && !storeUnusable_) compact();
}

void ZoneSource::reload() {
  if (!loaded_) return;
  if (zone_.listen) listen();
  if (!zone_.file.empty()) checkFile(true);
}

}  // namespace peargrade::zone_server
