#include "decision/recent_updates.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decision/action_target.h"

namespace peargrade::decision {

void RecentUpdates::record(const std::vector<Action>& update) {
  while (!updates_.empty() && !isRecent(updates_.front())) updates_.pop_front();
  Update recorded{clock_.now(), {}};
  const auto changesOneTable = [](const Action& action) { return tableOf(action) != kAllTables; };
  std::copy_if(update.begin(), update.end(), std::back_inserter(recorded.changes), changesOneTable);
  if (!recorded.changes.empty()) updates_.push_back(std::move(recorded));
}

std::vector<Action> RecentUpdates::changesOf(TableId table) const {
  std::vector<Action> changes;
  for (const Update& update : updates_) {
    if (!isRecent(update)) continue;
    std::copy_if(update.changes.begin(), update.changes.end(), std::back_inserter(changes),
                 [&](const Action& action) { return tableOf(action) == table; });
  }
  return changes;
}

bool RecentUpdates::isRecent(const Update& update) const {
  return clock_.now() - update.sentAt <= kReportLagMax;
}

}  // namespace peargrade::decision
