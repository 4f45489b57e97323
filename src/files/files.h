// All file work of what is stored, behind one small interface: files of one folder by name. The real one is
// below; tests have one that fails as they say (fakes/faulty_files.h). Nothing here decides what is
// written.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace peargrade::files {

// Whether work on a file was done; why not, for the log.
struct Outcome {
  bool ok = true;
  bool missing = false;  // there is no such file
  std::string why;
  explicit operator bool() const { return ok; }
};

// Files of one folder, by names without a path; every call says in its Outcome whether it was done.
class Files {
 public:
  virtual ~Files() = default;
  virtual Outcome read(const std::string& name, std::string& bytes) = 0;  // the whole file
  // Made new or emptied first. Like append, it may have written a part where it fails, and nothing of it is
  // sure to last before sync().
  virtual Outcome write(const std::string& name, const std::string& bytes) = 0;
  virtual Outcome append(const std::string& name, const std::string& bytes) = 0;
  virtual Outcome truncate(const std::string& name, std::size_t size) = 0;
  virtual Outcome sync(const std::string& name) = 0;
  virtual Outcome rename(const std::string& from, const std::string& to) = 0;  // replaces `to` in one step
  virtual Outcome remove(const std::string& name) = 0;
  // Names made, renamed or removed before are sure to last after it.
  virtual Outcome syncFolder() = 0;
  virtual Outcome list(std::vector<std::string>& names) = 0;
};

// The folder has to be there, belong to this user and be closed to others for writing. `lock`: no second
// process works on it as long as this lives; a killed process leaves no lock behind.
std::unique_ptr<Files> openFolder(const std::string& path, bool lock, Outcome& outcome);

}  // namespace peargrade::files
