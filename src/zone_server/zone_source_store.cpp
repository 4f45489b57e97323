// ZoneSource and its store: batches of accepted updates appended, the journal compacted into a snapshot.
#include <algorithm>

#include "zone_server/zone_source.h"

namespace peargrade::zone_server {
namespace {

constexpr Micros kRetry = 1000000;                           // a store that failed is tried again
constexpr std::size_t kJournalLeast = std::size_t{4} << 20;  // and twice the snapshot: then it is compacted

}  // namespace

// One batch on its way at a time: what comes meanwhile is the next one, with one sync.
void ZoneSource::writeNext() {
  if (busy_ || !processor_ || !processor_->waiting()) return;
  busy_ = true;
  ++counts_.batches;
  auto entries = processor_->begin();
  if (entries.empty()) return written({});
  worker_.run([this, disk = disk_, entries = std::move(entries),
               alive = std::weak_ptr<bool>(alive_)]() -> Worker::Done {
    const Written result = appendEntries(*disk, entries);
    return [this, alive, result] {
      if (alive.expired()) return;
      journalBytes_ = result.journalBytes;
      written(result.outcome);
    };
  });
}

void ZoneSource::written(const files::Outcome& outcome) {
  busy_ = false;
  for (const auto& answer : processor_->settled(outcome.ok, keys_, unixNow())) {
    const auto at = waiting_.find(answer.ticket);
    if (at == waiting_.end()) continue;
    at->second(answer.bytes);
    waiting_.erase(at);
  }
  if (outcome.ok) {
    for (const dns_zone::Difference& change : processor_->lastChanges()) addDrained(change, drained_);
    if (!publishSoon_.isScheduled()) publishSoon_.schedule(kGather);
  } else {
    ++counts_.failedBatches;
    around_.log->error("zones") << op_.label << ": " << outcome.why << ", updates not taken code=store";
    retry_.schedule(0);
  }
  if (next_) return takeNext();
  if (journalBytes_ > std::max(kJournalLeast, 2 * snapshotBytes_)) return compact();
  writeNext();
}

void ZoneSource::compact() {
  if (op_.state.empty() || broken_ || !processor_) return;
  if (busy_) return retry_.schedule(kGather);
  busy_ = true;
  ++counts_.compactions;
  worker_.run([this, disk = disk_,
               snapshot = processor_->snapshot(unixNow(), firstSeen_.recent(around_.clock()), freshAt_),
               alive = std::weak_ptr<bool>(alive_)]() -> Worker::Done {
    const Written result = writeSnapshot(*disk, snapshot);
    return [this, alive, result] {
      if (!alive.expired()) compacted(result);
    };
  });
}

void ZoneSource::compacted(const Written& result) {
  busy_ = false;
  journalBytes_ = result.journalBytes;
  snapshotBytes_ = result.snapshotBytes;
  if (!result.outcome.ok) {
    around_.log->error("zones") << op_.label << ": " << result.outcome.why << ", tried again code=store";
    retry_.schedule(kRetry);
  }
  if (next_) return takeNext();
  writeNext();
}

// What waited while the store was written.
void ZoneSource::takeNext() {
  dns_zone::Zone zone = std::move(*next_);
  next_.reset();
  take(std::move(zone), nextVerdict_);
}

}  // namespace peargrade::zone_server
