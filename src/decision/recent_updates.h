// The changes of tables that updates of the last seconds contained.
#pragma once

#include <deque>
#include <vector>

#include "decision/clock.h"
#include "peargrade/actions.h"
#include "peargrade/types.h"

namespace peargrade::decision {

/// Remembers sent updates for as long as the stored routes of a slice that is assigned may not contain their
/// effect: the relay may report a table, execute an update that was sent before, and the report may be
/// handled after the update's outcome. Bounded by what the channel limits let pass within kReportLagMax.
class RecentUpdates {
 public:
  /// Longest assumed time between the execution of an update and the handling of an assignment that the relay
  /// reported before it. A watch without a heartbeat for 2.5 s is closed.
  static constexpr Micros kReportLagMax = 3 * kSecond;

  explicit RecentUpdates(const Clock& clock) : clock_(clock) {}

  /// Records that an update is sent. Forgets updates older than kReportLagMax.
  void record(const std::vector<Action>& update);
  /// The changes of a table that its stored routes may not show if it is assigned now, in the order sent.
  [[nodiscard]] std::vector<Action> changesOf(TableId table) const;

 private:
  struct Update {
    Micros sentAt;
    std::vector<Action> changes;
  };

  [[nodiscard]] bool isRecent(const Update& update) const;

  const Clock& clock_;
  std::deque<Update> updates_;
};

}  // namespace peargrade::decision
