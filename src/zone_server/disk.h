// File access of a ZoneSource: its store and its zone file. The functions may block, so a ZoneSource calls
// them on the worker thread. They share no state with the event loop.
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

/// The store of one zone. Used by the worker thread only.
struct DiskStore {
  std::unique_ptr<files::Files> files;
  std::unique_ptr<files::Store> store;
};

/// The contents of the store at the start.
struct StoredZone {
  std::vector<std::string> errors;  // for the log, without the label of the zone
  std::vector<std::string> notes;   // likewise
  bool damaged = false;             // the store is unusable and must not be written
  std::optional<dns_zone::Snapshot> snapshot;
  std::vector<dns_zone::JournalEntry> entries;  // changes after the snapshot, in order
};
/// Opens the store in the zone's state folder. Without a state folder, `disk` and the result stay empty.
StoredZone openStore(const op::Zone& zone, DiskStore& disk);

/// Result of a write to the store. The sizes are 0 if no store is open.
struct WriteResult {
  files::Outcome outcome;
  std::size_t journalBytes = 0;
  std::size_t snapshotBytes = 0;
};
/// Both are durable if the outcome is ok.
WriteResult appendEntries(DiskStore& disk, const std::vector<std::string>& entries);
WriteResult writeSnapshot(DiskStore& disk, const std::string& snapshot);

/// Result of a check of the zone file.
struct FileReading {
  std::optional<dns_zone::Reading> reading;  // empty if the file has not changed
  std::string signature;                     // inode, size and time of the file and its includes
  std::optional<std::uint32_t> accepted;     // the serial accepted by an operator
};
/// Reads the file if `always`, if a serial was accepted, or if its signature differs from `last`.
FileReading readIfChanged(const op::Zone& zone, const std::string& last, bool always);

/// The path of the file to which `peargrade zone accept` writes an accepted serial.
std::string acceptMarkerPath(const std::string& stateFolder, const std::string& label);
/// The serial in that file; nothing if the zone has no state folder or the file does not exist.
std::optional<std::uint32_t> acceptedSerial(const op::Zone& zone);

/// Returns a function that reads files of `folder`, at most 256 MiB each. Links out of the folder are
/// refused.
dns_zone::ReadFile makeFileReader(const std::string& folder);

}  // namespace peargrade::zone_server
