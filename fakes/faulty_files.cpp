#include "fakes/faulty_files.h"

namespace peargrade::fakes {

using files::Outcome;

bool FaultyFiles::begin(Outcome& outcome, double& fraction) {
  fraction = 1;
  if (down_) {
    outcome = {false, false, "no power"};
    return false;
  }
  if (operations_++ != failAt_) return true;
  switch (fault_) {
    case Fault::None:
      return true;
    case Fault::PowerBefore:
      down_ = true;
      fraction = 0;
      break;
    case Fault::PowerDuring:
      down_ = true;
      fraction = 0.5;
      break;
    case Fault::FullDisk:
      fraction = 0.5;
      break;
    case Fault::Error:
      fraction = 0;
      break;
    case Fault::ShortRead:
      fraction = 0.5;
      break;
  }
  outcome = {false, false, fault_ == Fault::FullDisk ? "no space left" : "injected error"};
  return false;
}

void FaultyFiles::restart(After after) {
  down_ = false;
  const bool keepData = after == After::Kept || after == After::NamesLost;
  const bool keepNames = after == After::Kept || after == After::Torn || after == After::DataLost;
  for (Inode& inode : inodes_) {
    if (after == After::Torn) {
      // The durable prefix, then fraction of the unsynced data and zeros: pages reach the disk in any order.
      const std::size_t half = inode.durable.size() + (inode.current.size() > inode.durable.size()
                                                           ? (inode.current.size() - inode.durable.size()) / 2
                                                           : 0);
      inode.current = inode.current.substr(0, half) +
                      std::string(inode.current.size() > half ? (inode.current.size() - half) / 2 : 0, '\0');
    } else if (!keepData) {
      inode.current = inode.durable;
    }
    inode.durable = inode.current;
  }
  if (!keepNames) names_ = durableNames_;
  durableNames_ = names_;
}

void FaultyFiles::flip(const std::string& name, std::size_t bit) {
  Inode& inode = inodes_[names_.at(name)];
  inode.current[bit / 8] = static_cast<char>(inode.current[bit / 8] ^ (1 << bit % 8));
  inode.durable = inode.current;
}

std::map<std::string, std::string> FaultyFiles::contents() const {
  std::map<std::string, std::string> all;
  for (const auto& [name, inode] : names_) all[name] = inodes_[inode].current;
  return all;
}

void FaultyFiles::put(const std::string& name, const std::string& bytes) {
  inodes_.push_back({bytes, bytes});
  names_[name] = durableNames_[name] = inodes_.size() - 1;
}

Outcome FaultyFiles::read(const std::string& name, std::string& bytes) {
  Outcome outcome;
  double fraction;
  const bool proceeds = begin(outcome, fraction);
  const auto at = names_.find(name);
  if (proceeds && at == names_.end()) return {false, true, "no such file: " + name};
  if (at != names_.end())
    bytes = inodes_[at->second].current.substr(
        0, static_cast<std::size_t>(fraction * static_cast<double>(inodes_[at->second].current.size())));
  return outcome;
}

std::string& FaultyFiles::contents(const std::string& name) {
  auto at = names_.find(name);
  if (at == names_.end()) {
    inodes_.emplace_back();
    at = names_.emplace(name, inodes_.size() - 1).first;
  }
  return inodes_[at->second].current;
}

Outcome FaultyFiles::write(const std::string& name, const std::string& bytes) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction) && fraction == 0) return outcome;
  if (down_ && fraction == 1) return outcome;
  contents(name) = bytes.substr(0, static_cast<std::size_t>(fraction * static_cast<double>(bytes.size())));
  return outcome;
}

Outcome FaultyFiles::append(const std::string& name, const std::string& bytes) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction) && fraction == 0) return outcome;
  if (down_ && fraction == 1) return outcome;
  contents(name) += bytes.substr(0, static_cast<std::size_t>(fraction * static_cast<double>(bytes.size())));
  return outcome;
}

Outcome FaultyFiles::truncate(const std::string& name, std::size_t size) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction)) return outcome;
  const auto at = names_.find(name);
  if (at == names_.end()) return {false, true, "no such file: " + name};
  inodes_[at->second].current.resize(size);
  return outcome;
}

Outcome FaultyFiles::sync(const std::string& name) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction)) return outcome;
  const auto at = names_.find(name);
  if (at == names_.end()) return {false, true, "no such file: " + name};
  inodes_[at->second].durable = inodes_[at->second].current;
  return outcome;
}

Outcome FaultyFiles::rename(const std::string& from, const std::string& to) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction)) return outcome;
  const auto at = names_.find(from);
  if (at == names_.end()) return {false, true, "no such file: " + from};
  names_[to] = at->second;
  names_.erase(from);
  return outcome;
}

Outcome FaultyFiles::remove(const std::string& name) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction)) return outcome;
  if (names_.erase(name) == 0) return {false, true, "no such file: " + name};
  return outcome;
}

Outcome FaultyFiles::syncFolder() {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction)) return outcome;
  durableNames_ = names_;
  return outcome;
}

Outcome FaultyFiles::list(std::vector<std::string>& names) {
  Outcome outcome;
  double fraction;
  if (!begin(outcome, fraction)) return outcome;
  names.clear();
  for (const auto& [name, inode] : names_) names.push_back(name);
  return outcome;
}

}  // namespace peargrade::fakes
