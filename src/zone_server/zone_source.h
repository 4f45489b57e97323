// One zone that this installation keeps: its file watched, its updates taken in, its store written, and what
// it offers told to the membership. It holds together what decides: dns_zone::SerialPolicy,
// dns_zone::UpdateProcessor and files::Store.
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

// One zone of the operator's file, from its start to its end.
class ZoneSource {
 public:
  using Observe = std::function<void(const membership::Observation&)>;

  // `number`: of the source at the membership.
  ZoneSource(const Context& around, const op::Zone& zone, std::size_t number, Worker& worker,
             Observe observe);
  ~ZoneSource();
  ZoneSource(const ZoneSource&) = delete;
  ZoneSource& operator=(const ZoneSource&) = delete;

  void reload();                          // SIGHUP: file and keys are read anew
  bool ready() const { return loaded_; }  // what the disk had is known
  const dns_zone::Zone* zone() const { return processor_ ? &processor_->durable() : nullptr; }
  std::optional<net::Address> address() const {
    return listener_ ? std::optional<net::Address>(listener_->address()) : std::nullopt;
  }

  struct Counts {
    std::uint64_t accepted = 0, repeated = 0, refused = 0, batches = 0, failedBatches = 0, compactions = 0;
  };
  const Counts& counts() const { return counts_; }
  const TransferClient* transferClient() const { return transferClient_.get(); }

 private:
  static constexpr Micros kForEver =
      std::numeric_limits<Micros>::max() / 4;    // no expiry: a zone of one's own
  static constexpr Micros kGather = 20000;       // changes of a burst become one change of the list
  static constexpr std::size_t kLinesMost = 10;  // in the log for one state of the zone

  // ---- zone_source.cpp: the start, and a new zone in place of the old one ----
  void load();
  void loaded(StoredZone& stored);
  void restore(StoredZone& stored);
  dns_zone::Zone emptyZone() const;
  void take(dns_zone::Zone zone, dns_zone::SerialVerdict verdict);
  // ---- zone_source_file.cpp: the zone file ----
  void look(bool always);
  void looked(const FileReading& found);
  void tellMistakes(const std::vector<dns_zone::Mistake>& mistakes);
  // ---- zone_source_primary.cpp: transfers and notices ----
  void follow();
  bool came(const dns_zone::Zone& zone);
  void fresh();
  void onNotify(const std::string& message, const std::string& peer, const Listener::Reply& reply);
  // ---- zone_source_updates.cpp: dynamic updates ----
  void listen();
  void onMessage(const std::string& message, const std::string& peer, Listener::Reply reply);
  void refused(const dns_zone::UpdateProcessor::Taken& taken, const std::string& peer);
  // ---- zone_source_store.cpp: batches and snapshots ----
  void writeNext();
  void written(const files::Outcome& outcome);
  void compact();
  void compacted(const Written& result);
  void takeNext();
  // ---- zone_source_publish.cpp: what the membership is told ----
  void publish();
  void tellNotes(const std::vector<std::string>& all);
  std::int64_t unixNow() const { return around_.clock() / 1000000; }
  dns_zone::UpdateProcessorSettings settings() const;

  const Context around_;
  const op::Zone& op_;
  const std::size_t number_;
  Worker& worker_;
  Observe observe_;
  const locality::LocalityMap places_;
  std::shared_ptr<DiskStore> disk_;  // of the worker's thread; only passed on here
  dns_zone::SerialPolicy serialPolicy_;
  std::unique_ptr<dns_zone::UpdateProcessor> processor_;
  dns_zone::FirstSeen firstSeen_;
  std::set<std::string>
      drained_;  // names drained since the last word to the membership: none of a burst is lost
  bool published_ = false;
  dns_zone::Keys keys_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<TransferClient> transferClient_;
  Micros freshAt_ = 0, freshStored_ = 0;  // of the primary's word, and as the store has it
  std::map<dns_zone::UpdateProcessor::Ticket, Listener::Reply> waiting_;
  net::Timer watch_, publishSoon_, retry_, listenAgain_;
  std::string signature_;  // of the files as they were read last
  bool loaded_ = false, busy_ = false, looking_ = false, broken_ = false;
  std::size_t journalBytes_ = 0, snapshotBytes_ = 0;
  std::optional<dns_zone::Zone> next_;  // a whole new zone waits until what is being written is settled
  dns_zone::SerialVerdict nextVerdict_ = dns_zone::SerialVerdict::Newer;
  std::string notes_;  // as told last
  Micros refusedToldAt_ = 0;
  std::uint64_t refusedUntold_ = 0;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace peargrade::zone_server
