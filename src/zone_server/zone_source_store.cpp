// ZoneSource: appends accepted updates to the store in batches and compacts the journal into a snapshot.
#include <algorithm>

#include "zone_server/zone_source.h"

namespace peargrade::zone_server {
namespace {

constexpr Micros kCompactRetryDelay = 1000000;  // after a failed snapshot
// Smaller journals are not compacted.
constexpr std::size_t kMinCompactionBytes = std::size_t{4} << 20;

}  // namespace

// Writes one batch at a time, with one sync. Updates that arrive meanwhile form the next batch.
void ZoneSource::writeNext() {
  if (writing_ || !processor_ || !processor_->waiting()) return;
  writing_ = true;
  ++counts_.batches;
  auto entries = processor_->begin();
  if (entries.empty()) return onBatchWritten({});
  worker_.run([this, disk = disk_, entries = std::move(entries),
               alive = std::weak_ptr<bool>(alive_)]() -> Worker::Completion {
    const WriteResult result = appendEntries(*disk, entries);
    return [this, alive, result] {
      if (alive.expired()) return;
      journalBytes_ = result.journalBytes;
      onBatchWritten(result.outcome);
    };
  });
}

void ZoneSource::onBatchWritten(const files::Outcome& outcome) {
  writing_ = false;
  for (const auto& answer : processor_->settled(outcome.ok, keys_, unixNow())) {
    const auto at = pendingReplies_.find(answer.ticket);
    if (at == pendingReplies_.end()) continue;
    at->second(answer.bytes);
    pendingReplies_.erase(at);
  }
  if (outcome.ok) {
    for (const dns_zone::Difference& change : processor_->lastChanges()) addDrained(change, drainedHosts_);
    if (!publishTimer_.isScheduled()) publishTimer_.schedule(kBurstDelay);
  } else {
    ++counts_.failedBatches;
    context_.log->error("zones") << zone_.label << ": " << outcome.why << ", updates rejected code=store";
    compactTimer_.schedule(0);
  }
  if (pendingZone_) return installPendingZone();
  if (journalBytes_ > std::max(kMinCompactionBytes, 2 * snapshotBytes_)) return compact();
  writeNext();
}

void ZoneSource::compact() {
  if (zone_.state.empty() || storeUnusable_ || !processor_) return;
  if (writing_) return compactTimer_.schedule(kBurstDelay);
  writing_ = true;
  ++counts_.compactions;
  worker_.run([this, disk = disk_,
               snapshot = processor_->snapshot(unixNow(), firstSeen_.recent(context_.clock()), confirmedAt_),
               alive = std::weak_ptr<bool>(alive_)]() -> Worker::Completion {
    const WriteResult result = writeSnapshot(*disk, snapshot);
    return [this, alive, result] {
      if (!alive.expired()) onSnapshotWritten(result);
    };
  });
}

void ZoneSource::onSnapshotWritten(const WriteResult& result) {
  writing_ = false;
  journalBytes_ = result.journalBytes;
  snapshotBytes_ = result.snapshotBytes;
  if (!result.outcome.ok) {
    context_.log->error("zones") << zone_.label << ": " << result.outcome.why
                                 << ", will be retried code=store";
    compactTimer_.schedule(kCompactRetryDelay);
  }
  if (pendingZone_) return installPendingZone();
  writeNext();
}

// Installs the zone that arrived while the store was being written.
void ZoneSource::installPendingZone() {
  dns_zone::Zone zone = std::move(*pendingZone_);
  pendingZone_.reset();
  installZone(std::move(zone), pendingVerdict_);
}

}  // namespace peargrade::zone_server
