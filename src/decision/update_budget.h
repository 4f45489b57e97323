// What may be sent now: the limits of messages and of routes in flight, by priority.
#pragma once

#include <vector>

#include "decision/clock.h"
#include "decision/update_channel.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Priorities of an update's parts, the most urgent first.
enum class UpdatePriority {
  Critical,    // a table without a routable server, changes of owner, ejections
  Evacuation,  // slices off servers that cannot keep them, lower ratios on warming servers
  Admission,   // other admission ratios
  Migration,   // other changes of primary servers
  Backup,      // backup routes, and routes to what is ejected
};

/// Actions that are sent together.
struct PendingUpdate {
  UpdatePriority priority;
  /// Within a priority, the least first: the negative heat.
  double order;
  TableId table;
  std::vector<Action> actions;

  bool operator<(const PendingUpdate& other) const;
};

/// Keeps an update within the message limit and the pending limit. Each priority may use a share of both.
class UpdateBudget {
 public:
  UpdateBudget(const Settings& settings, const Clock& clock, UpdateChannel& channel)
      : settings_(settings), clock_(clock), channel_(channel) {}

  /// Proxies that a message may go to: with slices the whole fleet may be there before its events are read.
  [[nodiscard]] double receivers() const;
  /// Routes in flight. A channel may be slower than the settings say: what no proxy acknowledged counts.
  [[nodiscard]] double routesInFlight() const { return channel_.routesInFlight(clock_.now(), slowestRate()); }
  /// Overhead of a message in routes: the fleet's ratios and the acknowledgement request ride along.
  [[nodiscard]] double messageOverhead() const;
  /// Routes to each proxy that an empty channel holds.
  [[nodiscard]] double emptyChannelCapacity(UpdatePriority priority) const;
  /// Routes that a message to each proxy may hold now.
  [[nodiscard]] double capacityLeft(UpdatePriority priority) const;
  /// Whether an update that starts with a priority, and has so many routes of it, may go now. An update waits
  /// for capacity for all of them or a good part of a message; after an incomplete delivery or missed
  /// acknowledgements for any, since its acknowledgement shows what has left.
  [[nodiscard]] bool maySend(UpdatePriority first, double routes, bool isRetry);
  /// The acknowledgements of updates sent so far may never be seen: the next update makes up for them.
  void recordMissedAcknowledgements() { acknowledgementsMissed_ = true; }
  /// Whether acknowledgements were missed, nothing was sent since, and an update that only asks for them may
  /// go now. It may use the whole pending limit: nothing is sent before what it shows is known.
  [[nodiscard]] bool mayAskForAcknowledgements();
  /// Records an update as sent now. Returns its id.
  int send(double routes);
  void recordDelivery(int messages);
  /// When the last update was sent; 0: never.
  [[nodiscard]] Micros lastSentAt() const { return lastSentAt_; }

 private:
  [[nodiscard]] double slowestRate() const;
  /// Whether the message limit lets a message of this priority through.
  [[nodiscard]] bool hasMessageLeft(UpdatePriority priority);

  const Settings& settings_;
  const Clock& clock_;
  UpdateChannel& channel_;
  Micros lastSentAt_ = 0;
  bool acknowledgementsMissed_ = false;
};

}  // namespace peargrade::decision
