// A state that outlives the process: snapshots by generation and, behind the newest, a journal of changes.
// What append() has answered with ok is there after any crash; what a crash left in the making is dropped and
// told. The one store of the program; what the bytes mean is decided by who keeps them. Works on Files only:
// no clock, no threads.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "files/files.h"

namespace peargrade::files {

// One store; every call says in its result whether it was done.
class Store {
 public:
  // `name` begins the names of its files; `version` stands in each and is told apart when read.
  Store(Files& files, std::string name, std::uint32_t version);

  enum class Found {
    Nothing,  // no files: begin anew
    Whole,    // everything that was ever answered
    Newer,    // of a later version: not touched, and nothing is written
    Damaged,  // files, but none that can be read: not touched, and nothing is written
    Failed,   // the files could not be read now
  };
  struct Contents {
    Found found = Found::Nothing;
    std::uint32_t version = 0;
    std::string snapshot;
    std::vector<std::string> changes;
    std::vector<std::string> notes;  // what was dropped or passed over, for the log
  };
  Contents open();

  // Writes a new generation that begins with `snapshot`; the old one goes once it is safe. Also the way on
  // after a failed append.
  Outcome compact(const std::string& snapshot);
  // Durable when it returns ok. After a failure nothing is taken until compact() has succeeded, as it is not
  // known what the file holds.
  Outcome append(const std::string& change) { return append(std::vector<std::string>{change}); }
  // Several with one sync; all of them or none are answered.
  Outcome append(const std::vector<std::string>& changes);

  bool writable() const { return writable_; }
  std::uint64_t generation() const { return generation_; }
  std::size_t journalBytes() const { return size_; }
  std::size_t snapshotBytes() const { return snapshotSize_; }

 private:
  std::string fileOf(std::uint64_t generation, const char* kind) const;
  bool generationOf(const std::string& file, const char* kind, std::uint64_t& generation) const;
  std::vector<std::uint64_t> generationsIn(const std::vector<std::string>& names) const;
  bool openGeneration(std::uint64_t generation, Contents& contents);
  void readJournal(std::uint64_t generation, std::uint32_t version, Contents& contents);
  std::string head(std::uint64_t generation) const;

  Files& files_;
  const std::string name_;
  const std::uint32_t version_;
  std::uint64_t generation_ = 0;
  std::size_t size_ = 0;  // of the journal, all of it whole
  std::size_t snapshotSize_ = 0;
  bool writable_ = false;
  bool foreign_ = false;  // files there are not ours to touch
};

}  // namespace peargrade::files
