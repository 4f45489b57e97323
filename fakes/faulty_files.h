// Files in memory that fail as a test says, with the difference between what was written and what would be
// there after the power has gone. Modelled on what POSIX allows: unsynced data may be kept, lost or torn;
// names made, renamed or removed since the folder was synced may stand or not.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "files/files.h"

namespace peargrade::fakes {

class FaultyFiles : public files::Files {
 public:
  enum class Fault {
    None,
    PowerBefore,  // the power goes before this operation
    PowerDuring,  // and in the middle of it: half of its bytes are written
    FullDisk,     // it fails with half of its bytes written
    Error,        // it fails and does nothing
    ShortRead,    // a read that gives half of the file and an error
  };
  // What becomes of everything that was not synced when the power goes.
  enum class After { Lost, Kept, Torn, NamesLost, DataLost };

  // At the operation of this number, counted from 0; it stands for that one only, but after PowerBefore and
  // PowerDuring nothing works until restart().
  void failAt(std::uint64_t operation, Fault fault) {
    failAt_ = operation;
    fault_ = fault;
  }
  std::uint64_t operations() const { return operations_; }
  bool down() const { return down_; }
  // The power is back: what lasted is there.
  void restart(After after);
  // Flips a bit of a file as it stands.
  void flip(const std::string& name, std::size_t bit);
  std::map<std::string, std::string> contents() const;
  void put(const std::string& name, const std::string& bytes);  // durable at once

  files::Outcome read(const std::string& name, std::string& bytes) override;
  files::Outcome write(const std::string& name, const std::string& bytes) override;
  files::Outcome append(const std::string& name, const std::string& bytes) override;
  files::Outcome truncate(const std::string& name, std::size_t size) override;
  files::Outcome sync(const std::string& name) override;
  files::Outcome rename(const std::string& from, const std::string& to) override;
  files::Outcome remove(const std::string& name) override;
  files::Outcome syncFolder() override;
  files::Outcome list(std::vector<std::string>& names) override;

 private:
  struct Inode {
    std::string now, durable;
  };
  // False: the operation is not carried out, and `outcome` says how it ends. `part`: of its bytes that are
  // written.
  bool begin(files::Outcome& outcome, double& part);
  std::string& contents(const std::string& name);

  std::vector<Inode> inodes_;
  std::map<std::string, std::size_t> names_, durableNames_;
  std::uint64_t operations_ = 0, failAt_ = UINT64_MAX;
  Fault fault_ = Fault::None;
  bool down_ = false;
};

}  // namespace peargrade::fakes
