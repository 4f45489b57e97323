#include "files/store.h"

#include <algorithm>
#include <cstdlib>

#include "files/journal.h"

namespace peargrade::files {
namespace {

constexpr char kMagic[] = "PEARGRADE";  // with the version and the generation: the head of every file
constexpr std::size_t kMagicSize = sizeof kMagic - 1;
constexpr std::size_t kHeadSize = kMagicSize + 4 + 8;
constexpr char kSnapshot[] = "snapshot", kJournal[] = "journal", kMaking[] = "making";

std::uint64_t number(const std::string& bytes, std::size_t at, int size) {
  std::uint64_t value = 0;
  for (int k = size - 1; k >= 0; --k)
    value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(k)]);
  return value;
}

// What the checksums of a file rest on: its generation and its version, so that neither can change unseen.
std::uint64_t numberOf(std::uint64_t generation, std::uint32_t version) {
  return generation ^ static_cast<std::uint64_t>(version) << 44;
}

bool isOurs(const std::string& bytes) {
  return bytes.size() >= kHeadSize && bytes.compare(0, kMagicSize, kMagic) == 0;
}

}  // namespace

Store::Store(Files& files, std::string name, std::uint32_t version)
    : files_(files), name_(std::move(name)), version_(version) {}

std::string Store::fileOf(std::uint64_t generation, const char* kind) const {
  return name_ + "." + std::to_string(generation) + "." + kind;
}

bool Store::generationOf(const std::string& file, const char* kind, std::uint64_t& generation) const {
  const std::string ending = std::string(".") + kind;
  if (file.size() <= name_.size() + 1 + ending.size() ||
      file.compare(0, name_.size() + 1, name_ + ".") != 0 ||
      file.compare(file.size() - ending.size(), ending.size(), ending) != 0)
    return false;
  const std::string digits = file.substr(name_.size() + 1, file.size() - ending.size() - name_.size() - 1);
  if (digits.empty() || digits.size() > 18 || digits.find_first_not_of("0123456789") != std::string::npos)
    return false;
  generation = std::strtoull(digits.c_str(), nullptr, 10);
  return true;
}

std::string Store::head(std::uint64_t generation) const {
  std::string bytes = kMagic;
  for (int k = 0; k < 4; ++k) bytes += static_cast<char>(version_ >> (8 * k) & 255);
  for (int k = 0; k < 8; ++k) bytes += static_cast<char>(generation >> (8 * k) & 255);
  return bytes;
}

// All generations that have a snapshot, the newest first.
std::vector<std::uint64_t> Store::generationsIn(const std::vector<std::string>& names) const {
  std::vector<std::uint64_t> generations;
  for (const std::string& file : names) {
    std::uint64_t generation = 0;
    if (generationOf(file, kSnapshot, generation)) generations.push_back(generation);
  }
  std::sort(generations.rbegin(), generations.rend());
  return generations;
}

Store::Contents Store::open() {
  Contents c;
  writable_ = foreign_ = false;
  std::vector<std::string> names;
  if (const Outcome listed = files_.list(names); !listed) {
    c.found = Found::Failed;
    c.notes.push_back(listed.why);
    return c;
  }
  const std::vector<std::uint64_t> generations = generationsIn(names);
  for (const std::uint64_t generation : generations) {
    if (openGeneration(generation, c)) return c;
  }
  if (!generations.empty()) {
    c.found = Found::Damaged;
    foreign_ = true;
  }
  return c;
}

// False where its snapshot is damaged: an older one may do.
bool Store::openGeneration(std::uint64_t generation, Contents& c) {
  const std::string file = fileOf(generation, kSnapshot);
  std::string bytes;
  if (const Outcome got = files_.read(file, bytes); !got) {
    // A read that fails now may do better later: nothing older may take its place.
    c.found = Found::Failed;
    c.notes.push_back(got.why);
    return true;
  }
  const auto version = static_cast<std::uint32_t>(isOurs(bytes) ? number(bytes, kMagicSize, 4) : 0);
  if (version > version_) {
    c.found = Found::Newer;
    c.version = version;
    c.notes.push_back(file + ": version " + std::to_string(c.version) + ", this program knows up to " +
                      std::to_string(version_));
    foreign_ = true;
    return true;
  }
  const Recovered snapshot = recover(bytes, numberOf(generation, version), kHeadSize);
  if (!isOurs(bytes) || number(bytes, kMagicSize + 4, 8) != generation || snapshot.payloads.size() != 1 ||
      snapshot.dropped != 0) {
    c.notes.push_back(file + ": damaged, passed over");
    return false;
  }
  c.version = version;
  c.snapshot = snapshot.payloads[0];
  readJournal(generation, version, c);
  return true;
}

// What stands behind the snapshot, up to the last whole change.
void Store::readJournal(std::uint64_t generation, std::uint32_t version, Contents& c) {
  std::string changes;
  const std::string journal = fileOf(generation, kJournal);
  if (const Outcome got = files_.read(journal, changes); !got && !got.missing) {
    c.found = Found::Failed;
    c.notes.push_back(got.why);
    c.version = 0;
    c.snapshot.clear();
    return;
  }
  c.found = Found::Whole;
  Recovered r;
  if (isOurs(changes) && number(changes, kMagicSize + 4, 8) == generation)
    r = recover(changes, numberOf(generation, version), kHeadSize);
  else
    r.dropped = changes.size();
  c.changes = std::move(r.payloads);
  if (r.dropped > 0)
    c.notes.push_back(journal + ": " + std::to_string(r.dropped) +
                      " bytes behind the last whole change dropped");
  generation_ = generation;
}

// Written beside, synced, renamed: at every moment one generation is whole. The older one goes last.
Outcome Store::compact(const std::string& snapshot) {
  if (foreign_)
    return {false, false, "the files there are of another version or damaged: moved away by hand first"};
  writable_ = false;
  const std::uint64_t next = generation_ + 1;
  const std::string making = fileOf(next, kMaking);
  const std::string body = head(next) + framed(snapshot, numberOf(next, version_), kHeadSize);
  if (Outcome o = files_.write(making, body); !o) return o;
  if (Outcome o = files_.sync(making); !o) return o;
  // The journal first: a snapshot without one is whole, but a stale one of the same number must not stand
  // behind it.
  const std::string journal = fileOf(next, kJournal);
  if (Outcome o = files_.write(journal, head(next)); !o) return o;
  if (Outcome o = files_.sync(journal); !o) return o;
  if (Outcome o = files_.syncFolder(); !o) return o;
  if (Outcome o = files_.rename(making, fileOf(next, kSnapshot)); !o) return o;
  if (Outcome o = files_.syncFolder(); !o) return o;
  generation_ = next;
  size_ = kHeadSize;
  snapshotSize_ = body.size();
  writable_ = true;
  // What is left over costs room only.
  std::vector<std::string> names;
  if (!files_.list(names)) return {};
  for (const std::string& file : names) {
    std::uint64_t generation = 0;
    for (const char* kind : {kSnapshot, kJournal, kMaking}) {
      if (generationOf(file, kind, generation) && generation < next) files_.remove(file);
    }
  }
  return {};
}

Outcome Store::append(const std::vector<std::string>& changes) {
  if (!writable_) return {false, false, "the journal takes nothing until a new generation is written"};
  std::string bytes;
  for (const std::string& change : changes) {
    if (change.size() > kRecordMost) return {false, false, "a change of more than 16 MiB"};
    bytes += framed(change, numberOf(generation_, version_), size_ + bytes.size());
  }
  const std::string journal = fileOf(generation_, kJournal);
  if (Outcome o = files_.append(journal, bytes); !o) {
    writable_ = false;
    return o;
  }
  if (Outcome o = files_.sync(journal); !o) {
    writable_ = false;
    return o;
  }
  size_ += bytes.size();
  return {};
}

}  // namespace peargrade::files
