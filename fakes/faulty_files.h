// Files in memory with injected faults. Written contents and contents that survive a power loss are tracked
// separately. The model follows POSIX: unsynced data may be kept, lost or torn; the creation, renaming or
// removal of a name may be lost unless the folder was synced afterwards.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "files/files.h"

namespace peargrade::fakes {

/// An implementation of files::Files for tests of storage faults and power loss.
class FaultyFiles : public files::Files {
 public:
  enum class Fault {
    None,
    PowerBefore,  // power loss before the operation
    PowerDuring,  // power loss during the operation: half of its bytes are written
    FullDisk,     // the operation fails after writing half of its bytes
    Error,        // the operation fails without effect
    ShortRead,    // a read returns half of the file and an error
  };
  /// What happens to unsynced data and names on a power loss.
  enum class After { Lost, Kept, Torn, NamesLost, DataLost };

  /// Injects a fault at operation number `operation`, counted from 0. Only this operation is affected, except
  /// that after PowerBefore and PowerDuring all operations fail until restart().
  void failAt(std::uint64_t operation, Fault fault) {
    failAt_ = operation;
    fault_ = fault;
  }
  std::uint64_t operations() const { return operations_; }
  bool down() const { return down_; }
  /// Restores the power; the files have the contents that survived.
  void restart(After after);
  /// Flips one bit of a file, in its current and in its durable contents.
  void flip(const std::string& name, std::size_t bit);
  std::map<std::string, std::string> contents() const;
  /// Creates a file that is durable immediately.
  void put(const std::string& name, const std::string& bytes);

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
    std::string current;
    std::string durable;
  };
  // Counts an operation and applies the injected fault. Returns false if the operation fails with `outcome`;
  // `fraction` is the share of its bytes that still takes effect.
  bool begin(files::Outcome& outcome, double& fraction);
  // The contents of a file, which is created if it does not exist.
  std::string& contents(const std::string& name);

  std::vector<Inode> inodes_;
  // Indices into inodes_ by file name.
  std::map<std::string, std::size_t> names_;
  std::map<std::string, std::size_t> durableNames_;
  std::uint64_t operations_ = 0;
  std::uint64_t failAt_ = UINT64_MAX;
  Fault fault_ = Fault::None;
  bool down_ = false;
};

}  // namespace peargrade::fakes
