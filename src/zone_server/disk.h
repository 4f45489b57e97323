// What a zone source does with files: opens and writes the store, reads the zone file if it has changed.
// Every function may block, so a ZoneSource calls them on the worker's thread; they share no state with the
// loop.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dns_zone/master_file.h"
#include "dns_zone/snapshot.h"
#include "files/store.h"
#include "operator/operator.h"

namespace peargrade::zone_server {

// The store of one zone. Lives on the worker's thread once the source has begun; the source only passes it
// on.
struct DiskStore {
  std::unique_ptr<files::Files> files;
  std::unique_ptr<files::Store> store;
};

// What the store held at the start.
struct StoredZone {
  std::vector<std::string> errors, notes;  // for the log, without the zone's label
  bool damaged = false;                    // nothing is to be written there
  std::optional<dns_zone::Snapshot> snapshot;
  std::vector<dns_zone::JournalEntry> entries;  // changes behind the snapshot, in order
};
// Opens the store in the zone's state folder; without such a folder there is nothing to open.
StoredZone openStore(const op::Zone& zone, DiskStore& disk);

// What writing to the store has led to; sizes in bytes, 0 without a store.
struct Written {
  files::Outcome outcome;
  std::size_t journalBytes = 0, snapshotBytes = 0;
};
// Each durable where its outcome is ok; an outcome that is not says why.
Written appendEntries(DiskStore& disk, const std::vector<std::string>& entries);
Written writeSnapshot(DiskStore& disk, const std::string& snapshot);

// The zone file as it was found.
struct FileReading {
  std::optional<dns_zone::Reading> reading;  // nothing: the file is as it was read last
  std::string signature;                     // inode, size and time of the file and all that it includes
  std::optional<std::uint32_t> accepted;     // the serial that an operator accepted
};
// Reads the file if `always`, if a serial was accepted, or if its signature is not `last`.
FileReading readIfChanged(const op::Zone& zone, const std::string& last, bool always);

// The file in which `peargrade zone accept` leaves an accepted serial.
std::string acceptMarkerPath(const std::string& stateFolder, const std::string& label);
// The serial in that file; nothing where the zone has no state folder or the file is not there.
std::optional<std::uint32_t> acceptedSerial(const op::Zone& zone);

// Reads zone files within their folder, at most 256 MiB each; links out of the folder are refused.
dns_zone::ReadFile readerOf(const std::string& folder);

}  // namespace peargrade::zone_server
