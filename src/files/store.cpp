#include "files/store.h"

#include <algorithm>
#include <cstdlib>

#include "files/journal.h"

namespace peargrade::files {
namespace {

// Every file begins with a header: the magic, the format version (4 bytes) and the generation (8 bytes).
constexpr char kMagic[] = "PEARGRADE";
constexpr std::size_t kMagicBytes = sizeof kMagic - 1;
constexpr std::size_t kFileHeaderBytes = kMagicBytes + 4 + 8;
constexpr char kSnapshot[] = "snapshot";
constexpr char kJournal[] = "journal";
constexpr char kTemporary[] = "making";  // a snapshot that is not complete yet

/// Reads `size` bytes, little-endian.
std::uint64_t readInteger(const std::string& bytes, std::size_t at, int size) {
  std::uint64_t value = 0;
  for (int k = size - 1; k >= 0; --k)
    value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(k)]);
  return value;
}

/// The file number in the record checksums. It contains the generation and the version, so that a corrupt
/// header makes the checksums invalid.
std::uint64_t fileNumber(std::uint64_t generation, std::uint32_t version) {
  return generation ^ static_cast<std::uint64_t>(version) << 44;
}

/// Whether the file begins with a header of this store; its version and generation are not checked.
bool hasFileHeader(const std::string& bytes) {
  return bytes.size() >= kFileHeaderBytes && bytes.compare(0, kMagicBytes, kMagic) == 0;
}

}  // namespace

Store::Store(Files& files, std::string name, std::uint32_t version)
    : files_(files), name_(std::move(name)), version_(version) {}

std::string Store::fileName(std::uint64_t generation, const char* kind) const {
  return name_ + "." + std::to_string(generation) + "." + kind;
}

bool Store::parseFileName(const std::string& file, const char* kind, std::uint64_t& generation) const {
  const std::string suffix = std::string(".") + kind;
  if (file.size() <= name_.size() + 1 + suffix.size() ||
      file.compare(0, name_.size() + 1, name_ + ".") != 0 ||
      file.compare(file.size() - suffix.size(), suffix.size(), suffix) != 0)
    return false;
  const std::string digits = file.substr(name_.size() + 1, file.size() - suffix.size() - name_.size() - 1);
  if (digits.empty() || digits.size() > 18 || digits.find_first_not_of("0123456789") != std::string::npos)
    return false;
  generation = std::strtoull(digits.c_str(), nullptr, 10);
  return true;
}

std::string Store::encodeFileHeader(std::uint64_t generation) const {
  std::string bytes = kMagic;
  for (int k = 0; k < 4; ++k) bytes += static_cast<char>(version_ >> (8 * k) & 255);
  for (int k = 0; k < 8; ++k) bytes += static_cast<char>(generation >> (8 * k) & 255);
  return bytes;
}

// Returns the generations that have a snapshot, newest first.
std::vector<std::uint64_t> Store::findGenerations(const std::vector<std::string>& names) const {
  std::vector<std::uint64_t> generations;
  for (const std::string& file : names) {
    std::uint64_t generation = 0;
    if (parseFileName(file, kSnapshot, generation)) generations.push_back(generation);
  }
  std::sort(generations.rbegin(), generations.rend());
  return generations;
}

Store::Contents Store::open() {
  Contents contents;
  writable_ = mustNotWrite_ = false;
  std::vector<std::string> names;
  if (const Outcome listed = files_.list(names); !listed) {
    contents.status = OpenStatus::ReadFailed;
    contents.notes.push_back(listed.why);
    return contents;
  }
  const std::vector<std::uint64_t> generations = findGenerations(names);
  for (const std::uint64_t generation : generations) {
    if (openGeneration(generation, contents)) return contents;
  }
  if (!generations.empty()) {
    contents.status = OpenStatus::Damaged;
    mustNotWrite_ = true;
  }
  return contents;
}

// Returns false if the snapshot is damaged, so that open() continues with the next older generation.
bool Store::openGeneration(std::uint64_t generation, Contents& contents) {
  const std::string file = fileName(generation, kSnapshot);
  std::string bytes;
  if (const Outcome readResult = files_.read(file, bytes); !readResult) {
    // The error may be temporary, so do not fall back to an older generation.
    contents.status = OpenStatus::ReadFailed;
    contents.notes.push_back(readResult.why);
    return true;
  }
  const auto version =
      static_cast<std::uint32_t>(hasFileHeader(bytes) ? readInteger(bytes, kMagicBytes, 4) : 0);
  if (version > version_) {
    contents.status = OpenStatus::NewerVersion;
    contents.version = version;
    contents.notes.push_back(file + ": format version " + std::to_string(contents.version) +
                             " is newer than version " + std::to_string(version_) +
                             ", the newest that this program reads");
    mustNotWrite_ = true;
    return true;
  }
  const DecodedRecords snapshot = decodeRecords(bytes, fileNumber(generation, version), kFileHeaderBytes);
  if (!hasFileHeader(bytes) || readInteger(bytes, kMagicBytes + 4, 8) != generation ||
      snapshot.payloads.size() != 1 || snapshot.droppedBytes != 0) {
    contents.notes.push_back(file + ": damaged snapshot skipped");
    return false;
  }
  contents.version = version;
  contents.snapshot = snapshot.payloads[0];
  readJournal(generation, version, contents);
  return true;
}

// Reads the changes after the snapshot, up to the last complete one.
void Store::readJournal(std::uint64_t generation, std::uint32_t version, Contents& contents) {
  std::string changes;
  const std::string journal = fileName(generation, kJournal);
  if (const Outcome readResult = files_.read(journal, changes); !readResult && !readResult.missing) {
    contents.status = OpenStatus::ReadFailed;
    contents.notes.push_back(readResult.why);
    contents.version = 0;
    contents.snapshot.clear();
    return;
  }
  contents.status = OpenStatus::Complete;
  DecodedRecords records;
  if (hasFileHeader(changes) && readInteger(changes, kMagicBytes + 4, 8) == generation)
    records = decodeRecords(changes, fileNumber(generation, version), kFileHeaderBytes);
  else
    records.droppedBytes = changes.size();
  contents.changes = std::move(records.payloads);
  if (records.droppedBytes > 0)
    contents.notes.push_back(journal + ": dropped " + std::to_string(records.droppedBytes) +
                             " bytes after the last complete change");
  generation_ = generation;
}

// Writes and syncs a temporary file, then renames it, so that one complete generation exists at any time.
// Older generations are removed last.
Outcome Store::compact(const std::string& snapshot) {
  if (mustNotWrite_)
    return {false, false, "the files are damaged or of a newer format version; move them away to write here"};
  writable_ = false;
  const std::uint64_t next = generation_ + 1;
  const std::string temporary = fileName(next, kTemporary);
  const std::string body =
      encodeFileHeader(next) + encodeRecord(snapshot, fileNumber(next, version_), kFileHeaderBytes);
  if (Outcome outcome = files_.write(temporary, body); !outcome) return outcome;
  if (Outcome outcome = files_.sync(temporary); !outcome) return outcome;
  // Write the journal before the rename: a stale journal of the same generation must not be replayed on top
  // of the new snapshot. A journal without a snapshot is ignored.
  const std::string journal = fileName(next, kJournal);
  if (Outcome outcome = files_.write(journal, encodeFileHeader(next)); !outcome) return outcome;
  if (Outcome outcome = files_.sync(journal); !outcome) return outcome;
  if (Outcome outcome = files_.syncFolder(); !outcome) return outcome;
  if (Outcome outcome = files_.rename(temporary, fileName(next, kSnapshot)); !outcome) return outcome;
  if (Outcome outcome = files_.syncFolder(); !outcome) return outcome;
  generation_ = next;
  journalBytes_ = kFileHeaderBytes;
  snapshotBytes_ = body.size();
  writable_ = true;
  // Files that cannot be removed only take space, so errors are ignored.
  std::vector<std::string> names;
  if (!files_.list(names)) return {};
  for (const std::string& file : names) {
    std::uint64_t generation = 0;
    for (const char* kind : {kSnapshot, kJournal, kTemporary}) {
      if (parseFileName(file, kind, generation) && generation < next) files_.remove(file);
    }
  }
  return {};
}

Outcome Store::append(const std::vector<std::string>& changes) {
  if (!writable_) return {false, false, "the journal accepts no changes until a new snapshot is written"};
  std::string bytes;
  for (const std::string& change : changes) {
    if (change.size() > kMaxRecordBytes) return {false, false, "the change is larger than 16 MiB"};
    bytes += encodeRecord(change, fileNumber(generation_, version_), journalBytes_ + bytes.size());
  }
  const std::string journal = fileName(generation_, kJournal);
  if (Outcome outcome = files_.append(journal, bytes); !outcome) {
    writable_ = false;
    return outcome;
  }
  if (Outcome outcome = files_.sync(journal); !outcome) {
    writable_ = false;
    return outcome;
  }
  journalBytes_ += bytes.size();
  return {};
}

}  // namespace peargrade::files
