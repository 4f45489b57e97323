// A zone that this installation maintains: reads its file or transfers it from a primary, applies dynamic
// updates, writes its store and reports its servers to the membership. The decisions are made by
// dns_zone::SerialPolicy and dns_zone::UpdateProcessor; this class connects them with files::Store and the
// network.
#pragma once

#include <limits>
#include <map>
#include <optional>

#include "dns_zone/serial_policy.h"
#include "dns_zone/update_processor.h"
#include "zone_server/context.h"
#include "zone_server/disk.h"
#include "zone_server/listener.h"
#include "zone_server/transfer_client.h"
#include "zone_server/worker.h"
#include "zone_server/zone_observation.h"

namespace peargrade::zone_server {

/// One zone of the operator's file. Runs on the event loop; file access runs on the worker.
class ZoneSource {
 public:
  using Observe = std::function<void(const membership::Observation&)>;

  /// `sourceIndex` identifies this source in the membership. `zone` and `worker` must outlive this object.
  ZoneSource(const Context& context, const op::Zone& zone, std::size_t sourceIndex, Worker& worker,
             Observe observe);
  ~ZoneSource();
  ZoneSource(const ZoneSource&) = delete;
  ZoneSource& operator=(const ZoneSource&) = delete;

  /// Reads the zone file and the keys again (on SIGHUP).
  void reload();
  /// Whether the store has been read.
  bool ready() const { return loaded_; }
  /// The durable zone; null if there is none yet.
  const dns_zone::Zone* zone() const { return processor_ ? &processor_->durable() : nullptr; }
  std::optional<net::Address> address() const {
    return listener_ ? std::optional<net::Address>(listener_->address()) : std::nullopt;
  }

  struct Counts {
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0;  // requests already answered
    std::uint64_t refused = 0;
    std::uint64_t batches = 0;
    std::uint64_t failedBatches = 0;
    std::uint64_t compactions = 0;
  };
  const Counts& counts() const { return counts_; }
  const TransferClient* transferClient() const { return transferClient_.get(); }

 private:
  static constexpr Micros kNoExpiry = std::numeric_limits<Micros>::max() / 4;  // for a zone without primaries
  static constexpr Micros kBurstDelay = 20000;     // collects a burst of updates into one observation
  static constexpr std::size_t kMaxLogLines = 10;  // for one state of the zone

  // ---- zone_source.cpp: the start, and replacement of the zone ----
  void load();
  void onStoreLoaded(StoredZone& stored);
  void restore(StoredZone& stored);
  dns_zone::Zone emptyZone() const;
  void installZone(dns_zone::Zone zone, dns_zone::SerialVerdict verdict);
  // ---- zone_source_file.cpp: the zone file ----
  void checkFile(bool always);
  void onFileRead(const FileReading& result);
  /// A file that was read while the store is authoritative. `changed`: since the last reading.
  void onFileBesideStore(const FileReading& result, dns_zone::SerialVerdict verdict, bool changed,
                         bool isFirstReading);
  void removeAcceptMarker();
  void logMistakes(const std::vector<dns_zone::Mistake>& mistakes);
  // ---- zone_source_primary.cpp: transfers and NOTIFY ----
  void startTransfers();
  bool onZoneReceived(const dns_zone::Zone& zone);
  void onUpToDate();
  void onNotify(const std::string& message, const std::string& peer, const Listener::Reply& reply);
  // ---- zone_source_updates.cpp: dynamic updates ----
  void listen();
  void onMessage(const std::string& message, const std::string& peer, Listener::Reply reply);
  void logRefusal(const dns_zone::UpdateProcessor::Taken& result, const std::string& peer);
  // ---- zone_source_store.cpp: batches and snapshots ----
  void writeNext();
  void onBatchWritten(const files::Outcome& outcome);
  void compact();
  void onSnapshotWritten(const WriteResult& result);
  void installPendingZone();
  // ---- zone_source_publish.cpp: observations for the membership ----
  void publish();
  void logNotes(const std::vector<std::string>& all);
  std::int64_t unixNow() const { return context_.clock() / 1000000; }
  dns_zone::UpdateProcessorSettings processorSettings() const;

  const Context context_;
  const op::Zone& zone_;
  const std::size_t sourceIndex_;
  Worker& worker_;
  Observe observe_;
  const locality::LocalityMap localityMap_;
  std::shared_ptr<DiskStore> disk_;  // used by the worker thread only
  dns_zone::SerialPolicy serialPolicy_;
  std::unique_ptr<dns_zone::UpdateProcessor> processor_;
  dns_zone::FirstSeen firstSeen_;
  // Hosts drained since the last observation, so that a drain revoked within a burst is not lost.
  std::set<std::string> drainedHosts_;
  bool published_ = false;
  dns_zone::Keys keys_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<TransferClient> transferClient_;
  Micros confirmedAt_ = 0;        // when a primary last confirmed the zone
  Micros storedConfirmedAt_ = 0;  // that time in the store
  std::map<dns_zone::UpdateProcessor::Ticket, Listener::Reply> pendingReplies_;
  net::Timer fileCheckTimer_;
  net::Timer publishTimer_;
  net::Timer compactTimer_;
  net::Timer listenRetryTimer_;
  std::string fileSignature_;  // of the zone file and its includes when last read
  bool loaded_ = false;
  bool writing_ = false;  // a write to the store is in progress
  bool readingFile_ = false;
  bool storeUnusable_ = false;  // the store must not be written
  std::size_t journalBytes_ = 0;
  std::size_t snapshotBytes_ = 0;
  std::optional<dns_zone::Zone> pendingZone_;  // installed when the write in progress has finished
  dns_zone::SerialVerdict pendingVerdict_ = dns_zone::SerialVerdict::Newer;
  std::string loggedNotes_;  // as last logged
  Micros refusalLoggedAt_ = 0;
  std::uint64_t unloggedRefusals_ = 0;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace peargrade::zone_server
