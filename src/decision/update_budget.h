// Rate limits of updates: messages to each proxy, and routes in flight in the update channel.
#pragma once

#include <vector>

#include "decision/clock.h"
#include "decision/update_channel.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Priorities of the parts of an update, the most urgent first.
enum class UpdatePriority {
  Critical,          // routes of a table without a usable server, changes of owner, ejections
  Evacuation,        // migrations off servers that cannot keep their slices, lower ratios on warming servers
  RetryRestriction,  // stricter retry policies where the settings forbid those that proxies may hold
  Admission,         // other admission ratios, stricter retry policies in overload
  Migration,         // other changes of primary servers
  Backup,            // backup routes, removal of routes to ejected servers, looser retry policies of slices
};

/// Actions that are sent in the same update or not at all.
struct PendingUpdate {
  UpdatePriority priority;
  /// Order within a priority, ascending. It is the negative heat, so that hot slices come first.
  double order;
  TableId table;
  std::vector<Action> actions;

  bool operator<(const PendingUpdate& other) const;
};

/// Keeps updates within two limits of the settings: the message limit (messagesPerProxyMax) and the pending
/// limit (pendingRoutesMax). Each priority may use only a share of both, so that less urgent updates leave
/// capacity for more urgent ones. RetryRestriction may use more than Evacuation, which it follows: a share
/// remains for it while evacuations use all of theirs.
class UpdateBudget {
 public:
  UpdateBudget(const Settings& settings, const Clock& clock, UpdateChannel& channel)
      : settings_(settings), clock_(clock), channel_(channel) {}

  /// Upper bound of the number of proxies that receive an update. With slices, every proxy of the fleet may
  /// be connected already although its event has not been read yet.
  [[nodiscard]] double receivers() const;
  /// Routes in flight, summed over the proxies. The channel may be slower than the settings state, so routes
  /// count until they are acknowledged or the slowest rate has transmitted them.
  [[nodiscard]] double routesInFlight() const { return channel_.routesInFlight(clock_.now(), slowestRate()); }
  /// Overhead of a message, in routes: includes the fleet's ratios and the acknowledgement request.
  [[nodiscard]] double messageOverhead() const;
  /// Routes to each proxy, overhead included, for which an empty channel has capacity.
  [[nodiscard]] double emptyChannelCapacity(UpdatePriority priority) const;
  /// Routes to each proxy, without overhead, for which the channel has capacity now. May be negative.
  [[nodiscard]] double capacityLeft(UpdatePriority priority) const;
  /// Whether an update may be sent now whose most urgent priority is `highestPriority`, with `routes` routes
  /// of that priority. Normally there must be capacity for all of these or for a minimum share of a message.
  /// After an incomplete delivery (`isRetry`) or missed acknowledgements, capacity for one route suffices,
  /// since the acknowledgement of any update shows which earlier routes are no longer in flight.
  [[nodiscard]] bool canSend(UpdatePriority highestPriority, double routes, bool isRetry);
  /// Records that acknowledgements of the updates sent so far may have been lost. The acknowledgement of a
  /// later update replaces them.
  void recordMissedAcknowledgements() { acknowledgementsMissed_ = true; }
  /// Whether acknowledgements were missed, nothing was sent since, and an update that consists only of an
  /// acknowledgement request may be sent now. It may use the complete pending limit, since its
  /// acknowledgement frees capacity for all later updates.
  [[nodiscard]] bool canRequestAcknowledgements();
  /// Records an update of `routes` routes to each proxy as sent now. Returns its id.
  int send(double routes);
  /// Records that the last update entered the channel in `messages` messages to each proxy; 0: it did not.
  void recordDelivery(int messages);
  /// When the last update was sent; 0: none yet.
  [[nodiscard]] Micros lastSentAt() const { return lastSentAt_; }

 private:
  /// Routes per second that the channel is assumed to transmit at least.
  [[nodiscard]] double slowestRate() const;
  /// Whether the message limit allows another message of this priority now.
  [[nodiscard]] bool isWithinMessageLimit(UpdatePriority priority);

  const Settings& settings_;
  const Clock& clock_;
  UpdateChannel& channel_;
  Micros lastSentAt_ = 0;
  bool acknowledgementsMissed_ = false;
};

}  // namespace peargrade::decision
