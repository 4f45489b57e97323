// File access for stored state: an interface for the files of one folder, addressed by name. openFolder()
// returns the implementation on the file system; tests use one that injects faults (fakes/faulty_files.h).
// This layer does not interpret the contents.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace peargrade::files {

/// Result of a file operation.
struct Outcome {
  bool ok = true;
  bool missing = false;  // the operation failed because the file does not exist
  std::string why;       // the error, as text for the log; empty if `ok`
  explicit operator bool() const { return ok; }
};

/// The files of one folder. Names have no path. Every operation reports success or failure in its Outcome.
class Files {
 public:
  virtual ~Files() = default;
  /// Reads the complete file.
  virtual Outcome read(const std::string& name, std::string& bytes) = 0;
  /// Creates or truncates the file, then writes `bytes`. A failed write() or append() may have written a part
  /// of the bytes. Neither is durable before sync().
  virtual Outcome write(const std::string& name, const std::string& bytes) = 0;
  virtual Outcome append(const std::string& name, const std::string& bytes) = 0;
  virtual Outcome truncate(const std::string& name, std::size_t size) = 0;
  virtual Outcome sync(const std::string& name) = 0;
  /// Replaces `to` atomically.
  virtual Outcome rename(const std::string& from, const std::string& to) = 0;
  virtual Outcome remove(const std::string& name) = 0;
  /// Makes earlier creations, renames and removals of files durable.
  virtual Outcome syncFolder() = 0;
  virtual Outcome list(std::vector<std::string>& names) = 0;
};

/// Opens an existing folder, which must be owned by the effective user and not writable by group or others.
/// Returns null on failure, with the error in `outcome`. With `lock`, the folder is locked against other
/// processes for the lifetime of the returned object; the kernel releases the lock when the process ends.
std::unique_ptr<Files> openFolder(const std::string& path, bool lock, Outcome& outcome);

}  // namespace peargrade::files
