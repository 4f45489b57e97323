// A crash-safe store: a snapshot for each generation and, for the newest, a journal of changes. A change that
// append() has acknowledged survives any crash. Incomplete data left by a crash is dropped, and open()
// reports it. The caller defines the meaning of the bytes. The store uses Files only: no clock, no threads.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "files/files.h"

namespace peargrade::files {

/// One store in a folder. Call open() first, then compact() before the first append().
class Store {
 public:
  /// `name` is the prefix of its file names. `version` is the format version written to each file; files of a
  /// newer version are not read. `files` must outlive the store.
  Store(Files& files, std::string name, std::uint32_t version);

  enum class OpenStatus {
    Empty,         // no files
    Complete,      // every acknowledged change was read
    NewerVersion,  // files of a newer format version; compact() and append() fail
    Damaged,       // no snapshot is readable; compact() and append() fail
    ReadFailed,    // an I/O error; a later open() may succeed
  };
  struct Contents {
    OpenStatus status = OpenStatus::Empty;
    std::uint32_t version = 0;
    std::string snapshot;
    std::vector<std::string> changes;  // made after the snapshot, in order
    std::vector<std::string> notes;    // what was dropped or skipped, and errors, as texts for the log
  };
  Contents open();

  /// Begins a new generation with `snapshot` and an empty journal. The old generation is removed once the new
  /// one is durable. Required after a failed append().
  Outcome compact(const std::string& snapshot);
  /// Durable when it returns ok. After a failure the contents of the journal are unknown, so every append()
  /// fails until compact() has succeeded.
  Outcome append(const std::string& change) { return append(std::vector<std::string>{change}); }
  /// Appends several changes with one sync. The result holds for all of them.
  Outcome append(const std::vector<std::string>& changes);

  bool writable() const { return writable_; }
  std::uint64_t generation() const { return generation_; }
  std::size_t journalBytes() const { return journalBytes_; }
  std::size_t snapshotBytes() const { return snapshotBytes_; }

 private:
  std::string fileName(std::uint64_t generation, const char* kind) const;
  bool parseFileName(const std::string& file, const char* kind, std::uint64_t& generation) const;
  std::vector<std::uint64_t> findGenerations(const std::vector<std::string>& names) const;
  bool openGeneration(std::uint64_t generation, Contents& contents);
  void readJournal(std::uint64_t generation, std::uint32_t version, Contents& contents);
  std::string encodeFileHeader(std::uint64_t generation) const;

  Files& files_;
  const std::string name_;
  const std::uint32_t version_;
  std::uint64_t generation_ = 0;
  std::size_t journalBytes_ = 0;  // valid length, file header included
  std::size_t snapshotBytes_ = 0;
  bool writable_ = false;
  bool mustNotWrite_ = false;  // the files are damaged or of a newer version: keep them unchanged
};

}  // namespace peargrade::files
