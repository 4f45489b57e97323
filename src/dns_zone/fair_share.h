// Divides a limited resource among clients, so that none of them can use it up.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

namespace peargrade::dns_zone {

/// Counts how much of a resource each client uses. With more than one client, a client may use at most half
/// of what the others leave, so that there is always room for the next one.
class FairShare {
 public:
  /// `limit`: of all clients together. `clients`: number of clients that may use the resource.
  FairShare(std::size_t limit, std::size_t clients) : limit_(limit), divisor_(clients > 1 ? 2 : 1) {}

  bool allows(const std::string& client, std::size_t amount) const {
    const std::size_t own = usedBy(client);
    const std::size_t others = total_ - own;
    const std::size_t room = limit_ > others ? limit_ - others : 0;
    return own + amount <= std::max(room / divisor_, std::min<std::size_t>(room, 1));
  }
  void take(const std::string& client, std::size_t amount) {
    if (amount == 0) return;
    used_[client] += amount;
    total_ += amount;
  }
  /// Releases at most what the client uses.
  void release(const std::string& client, std::size_t amount) {
    const auto used = used_.find(client);
    if (used == used_.end()) return;
    const std::size_t released = std::min(amount, used->second);
    used->second -= released;
    total_ -= released;
    if (used->second == 0) used_.erase(used);
  }

  std::size_t total() const { return total_; }
  std::size_t usedBy(const std::string& client) const {
    const auto used = used_.find(client);
    return used == used_.end() ? 0 : used->second;
  }

 private:
  std::size_t limit_;
  std::size_t divisor_;
  std::size_t total_ = 0;
  std::map<std::string, std::size_t> used_;
};

}  // namespace peargrade::dns_zone
