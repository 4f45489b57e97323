#include "fakes/faulty_files.h"

namespace peargrade::fakes {

using files::Outcome;

bool FaultyFiles::begin(Outcome& outcome, double& part) {
  part = 1;
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
      part = 0;
      break;
    case Fault::PowerDuring:
      down_ = true;
      part = 0.5;
      break;
    case Fault::FullDisk:
      part = 0.5;
      break;
    case Fault::Error:
      part = 0;
      break;
    case Fault::ShortRead:
      part = 0.5;
      break;
  }
  outcome = {false, false, fault_ == Fault::FullDisk ? "no space left" : "an error on purpose"};
  return false;
}

void FaultyFiles::restart(After after) {
  down_ = false;
  const bool keepData = after == After::Kept || after == After::NamesLost;
  const bool keepNames = after == After::Kept || after == After::Torn || after == After::DataLost;
  for (Inode& inode : inodes_) {
    if (after == After::Torn) {
      // A common prefix with what was durable, then a part of what came: pages reach the disk as they like.
      const std::size_t half =
          inode.durable.size() +
          (inode.now.size() > inode.durable.size() ? (inode.now.size() - inode.durable.size()) / 2 : 0);
      inode.now = inode.now.substr(0, half) +
                  std::string(inode.now.size() > half ? (inode.now.size() - half) / 2 : 0, '\0');
    } else if (!keepData) {
      inode.now = inode.durable;
    }
    inode.durable = inode.now;
  }
  if (!keepNames) names_ = durableNames_;
  durableNames_ = names_;
}

void FaultyFiles::flip(const std::string& name, std::size_t bit) {
  Inode& inode = inodes_[names_.at(name)];
  inode.now[bit / 8] = static_cast<char>(inode.now[bit / 8] ^ (1 << bit % 8));
  inode.durable = inode.now;
}

std::map<std::string, std::string> FaultyFiles::contents() const {
  std::map<std::string, std::string> all;
  for (const auto& [name, inode] : names_) all[name] = inodes_[inode].now;
  return all;
}

void FaultyFiles::put(const std::string& name, const std::string& bytes) {
  inodes_.push_back({bytes, bytes});
  names_[name] = durableNames_[name] = inodes_.size() - 1;
}

Outcome FaultyFiles::read(const std::string& name, std::string& bytes) {
  Outcome o;
  double part;
  const bool goes = begin(o, part);
  const auto at = names_.find(name);
  if (goes && at == names_.end()) return {false, true, "no such file: " + name};
  if (at != names_.end())
    bytes = inodes_[at->second].now.substr(
        0, static_cast<std::size_t>(part * static_cast<double>(inodes_[at->second].now.size())));
  return o;
}

// Of the file with this name, made if there is none.
std::string& FaultyFiles::contents(const std::string& name) {
  auto at = names_.find(name);
  if (at == names_.end()) {
    inodes_.emplace_back();
    at = names_.emplace(name, inodes_.size() - 1).first;
  }
  return inodes_[at->second].now;
}

Outcome FaultyFiles::write(const std::string& name, const std::string& bytes) {
  Outcome o;
  double part;
  if (!begin(o, part) && part == 0) return o;
  if (down_ && part == 1) return o;
  contents(name) = bytes.substr(0, static_cast<std::size_t>(part * static_cast<double>(bytes.size())));
  return o;
}

Outcome FaultyFiles::append(const std::string& name, const std::string& bytes) {
  Outcome o;
  double part;
  if (!begin(o, part) && part == 0) return o;
  if (down_ && part == 1) return o;
  contents(name) += bytes.substr(0, static_cast<std::size_t>(part * static_cast<double>(bytes.size())));
  return o;
}

Outcome FaultyFiles::truncate(const std::string& name, std::size_t size) {
  Outcome o;
  double part;
  if (!begin(o, part)) return o;
  const auto at = names_.find(name);
  if (at == names_.end()) return {false, true, "no such file: " + name};
  inodes_[at->second].now.resize(size);
  return o;
}

Outcome FaultyFiles::sync(const std::string& name) {
  Outcome o;
  double part;
  if (!begin(o, part)) return o;
  const auto at = names_.find(name);
  if (at == names_.end()) return {false, true, "no such file: " + name};
  inodes_[at->second].durable = inodes_[at->second].now;
  return o;
}

Outcome FaultyFiles::rename(const std::string& from, const std::string& to) {
  Outcome o;
  double part;
  if (!begin(o, part)) return o;
  const auto at = names_.find(from);
  if (at == names_.end()) return {false, true, "no such file: " + from};
  names_[to] = at->second;
  names_.erase(from);
  return o;
}

Outcome FaultyFiles::remove(const std::string& name) {
  Outcome o;
  double part;
  if (!begin(o, part)) return o;
  if (names_.erase(name) == 0) return {false, true, "no such file: " + name};
  return o;
}

Outcome FaultyFiles::syncFolder() {
  Outcome o;
  double part;
  if (!begin(o, part)) return o;
  durableNames_ = names_;
  return o;
}

Outcome FaultyFiles::list(std::vector<std::string>& names) {
  Outcome o;
  double part;
  if (!begin(o, part)) return o;
  names.clear();
  for (const auto& [name, inode] : names_) names.push_back(name);
  return o;
}

}  // namespace peargrade::fakes
