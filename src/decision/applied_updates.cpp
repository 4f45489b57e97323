#include "decision/applied_updates.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peargrade::decision {

void AppliedUpdates::connect(ProxyId proxy, bool isNewIncarnation) {
  const auto record = disconnected_.find(proxy);
  const bool isKnown = record != disconnected_.end() || connected_.count(proxy) > 0;
  UpdateNumber& applied = connected_[proxy];
  if (record != disconnected_.end()) {
    applied = record->second.applied;
    disconnected_.erase(record);
  }
  if (isNewIncarnation) applied = lastSent_;
  if (!isKnown && !isNewIncarnation && !unknownStateSince_) unknownStateSince_ = clock_.now();
  recordMissed(applied);
}

void AppliedUpdates::recordMissed(UpdateNumber applied) {
  if (applied == lastSent_) return;
  missed_ = UpdateRange{missed_ ? std::min(missed_->after, applied) : applied, lastSent_};
}

void AppliedUpdates::disconnect(ProxyId proxy) {
  const auto record = connected_.find(proxy);
  if (record == connected_.end()) return;
  disconnected_[proxy] = {record->second, clock_.now()};
  connected_.erase(record);
}

void AppliedUpdates::acknowledge(ProxyId proxy, UpdateNumber updatesSince) {
  const auto record = connected_.find(proxy);
  if (record == connected_.end() || updatesSince > lastSent_) return;
  record->second = std::max(record->second, lastSent_ - updatesSince);
}

void AppliedUpdates::recordUnobservedReconnects() {
  for (const auto& [proxy, applied] : connected_) recordMissed(applied);
}

void AppliedUpdates::forgetExpired() {
  for (auto it = disconnected_.begin(); it != disconnected_.end();) {
    const bool isExpired = clock_.now() - it->second.since >= kDisconnectedProxyRetention;
    it = isExpired ? disconnected_.erase(it) : std::next(it);
  }
  if (unknownStateSince_ && clock_.now() - *unknownStateSince_ >= kDisconnectedProxyRetention)
    unknownStateSince_.reset();
}

std::optional<UpdateRange> AppliedUpdates::takeMissed() { return std::exchange(missed_, std::nullopt); }

std::optional<UpdateNumber> AppliedUpdates::appliedByDisconnected() const {
  std::optional<UpdateNumber> applied;
  for (const auto& [proxy, record] : disconnected_)
    applied = applied ? std::min(*applied, record.applied) : record.applied;
  return applied;
}

}  // namespace peargrade::decision
