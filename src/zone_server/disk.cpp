#include "zone_server/disk.h"

#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace peargrade::zone_server {
namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{256} << 20;

/// A text that changes when one of the files is replaced, modified or removed.
std::string computeSignature(const std::string& folder, const std::vector<std::string>& files) {
  std::ostringstream text;
  for (const std::string& file : files) {
    struct stat status {};
    std::string path = folder;
    path.append("/").append(file);
    text << file << ' ';
    if (stat(path.c_str(), &status) != 0)
      text << "gone;";
    else
      text << status.st_ino << ' ' << status.st_size << ' ' << status.st_mtim.tv_sec << '.'
           << status.st_mtim.tv_nsec << ';';
  }
  return text.str();
}

/// The zone file `first` and the included files that `signature` lists.
std::vector<std::string> filesOfSignature(const std::string& signature, const std::string& first) {
  std::vector<std::string> names = {first};
  std::istringstream parts(signature);
  for (std::string part; std::getline(parts, part, ';');) {
    const std::string name = part.substr(0, part.find(' '));
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  }
  return names;
}

void readContents(const op::Zone& zone, const files::Store::Contents& contents, StoredZone& stored) {
  using OpenStatus = files::Store::OpenStatus;
  stored.notes = contents.notes;
  stored.damaged = contents.status == OpenStatus::NewerVersion || contents.status == OpenStatus::Damaged ||
                   contents.status == OpenStatus::ReadFailed;
  if (contents.status != OpenStatus::Complete) return;
  stored.snapshot = dns_zone::decodeSnapshot(contents.snapshot);
  if (!stored.snapshot || stored.snapshot->zone.origin() != zone.origin) {
    stored.errors.push_back(zone.state + ": expected a snapshot of zone " + zone.origin +
                            ", found another zone or invalid data");
    stored.snapshot.reset();
    stored.damaged = true;
    return;
  }
  for (const std::string& change : contents.changes) {
    if (auto entry = dns_zone::decodeJournalEntry(change)) stored.entries.push_back(std::move(*entry));
  }
}

WriteResult makeWriteResult(const DiskStore& disk, files::Outcome outcome) {
  return {std::move(outcome), disk.store->journalBytes(), disk.store->snapshotBytes()};
}

WriteResult storeNotOpen() { return {files::Outcome{false, false, "the store is not open"}, 0, 0}; }

}  // namespace

StoredZone openStore(const op::Zone& zone, DiskStore& disk) {
  StoredZone stored;
  if (zone.state.empty()) return stored;
  files::Outcome outcome;
  disk.files = files::openFolder(zone.state, true, outcome);
  if (!disk.files) {
    stored.errors.push_back(outcome.why);
    stored.damaged = true;
    return stored;
  }
  disk.store = std::make_unique<files::Store>(*disk.files, zone.label, dns_zone::kSnapshotVersion);
  readContents(zone, disk.store->open(), stored);
  return stored;
}

WriteResult appendEntries(DiskStore& disk, const std::vector<std::string>& entries) {
  return disk.store ? makeWriteResult(disk, disk.store->append(entries)) : storeNotOpen();
}

WriteResult writeSnapshot(DiskStore& disk, const std::string& snapshot) {
  return disk.store ? makeWriteResult(disk, disk.store->compact(snapshot)) : storeNotOpen();
}

FileReading readIfChanged(const op::Zone& zone, const std::string& last, bool always) {
  FileReading result;
  result.accepted = acceptedSerial(zone);
  result.signature = computeSignature(zone.folder, filesOfSignature(last, zone.file));
  if (!always && !result.accepted && result.signature == last) return result;
  result.reading = dns_zone::readMasterFile(zone.file, zone.origin, makeFileReader(zone.folder));
  const std::vector<std::string>& read = result.reading->files;
  result.signature = computeSignature(zone.folder, read.empty() ? std::vector<std::string>{zone.file} : read);
  return result;
}

std::string acceptMarkerPath(const std::string& stateFolder, const std::string& label) {
  return stateFolder + "/" + label + ".accept";
}

std::optional<std::uint32_t> acceptedSerial(const op::Zone& zone) {
  if (zone.state.empty()) return std::nullopt;
  std::ifstream marker(acceptMarkerPath(zone.state, zone.label));
  std::uint32_t serial = 0;
  if (marker >> serial) return serial;
  return std::nullopt;
}

dns_zone::ReadFile makeFileReader(const std::string& folder) {
  return [folder](const std::string& path, std::string& text, std::string& why) {
    namespace fs = std::filesystem;
    std::error_code error;
    const fs::path base = fs::canonical(folder, error);
    const fs::path file = error ? fs::path() : fs::canonical(base / path, error);
    if (error) {
      why = error.message();
      return false;
    }
    const std::string within = base.string() + "/";
    if (file.string().compare(0, within.size(), within) != 0) {
      why = "the file is outside the folder";
      return false;
    }
    if (!fs::is_regular_file(file, error) || fs::file_size(file, error) > kMaxFileBytes) {
      why = "expected a regular file of at most 256 MiB";
      return false;
    }
    std::ifstream in(file, std::ios::binary);
    std::ostringstream all;
    all << in.rdbuf();
    if (!in || in.bad()) {
      why = "cannot be read";
      return false;
    }
    text = all.str();
    return true;
  };
}

}  // namespace peargrade::zone_server
