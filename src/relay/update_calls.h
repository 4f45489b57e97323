// Splits table updates into APPLY calls and tracks their delivery: pending commands, the call in flight, and
// the delivery outcome of each update. Does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "peargrade/events.h"
#include "relay/call_log.h"
#include "relay/command.h"

namespace peargrade::relay {

/// Result of a call, from its reply.
enum class CallResult {
  Accepted,           // the relay accepted all commands of the call
  PartiallyAccepted,  // the relay accepted the commands before the one that it rejected
  Dropped,            // the relay rejected the same command in two calls in a row; later updates omit it
  Throttled,          // the relay did not execute the call
  Invalid,            // rejected as invalid kInvalidRepliesMax times in a row; the update is dropped
  Malformed,          // the reply cannot be parsed or trusted; the caller must end the connection
};

/// Sends one table update at a time, as calls within the relay's size limit, and determines its delivery
/// outcome.
///
/// Replies may be corrupt, so a single reply never causes a command to be dropped. A call whose outcome is
/// unknown is never repeated: its update is reported as incomplete, and the engine builds a new one from its
/// current state.
class UpdateCalls {
 public:
  /// The relay's limit for the commands of a call, in bytes.
  static constexpr std::size_t kCallBytesMax = 60000;
  /// Number of consecutive `invalid` replies after which the update is dropped.
  static constexpr int kInvalidRepliesMax = 5;

  /// `pendingMax` is the limit of pending commands; beyond it the oldest are discarded.
  explicit UpdateCalls(std::size_t pendingMax) : pendingMax_(pendingMax) {}

  /// Adds the commands of one update. The caller must take the delivery of an update before it adds the next
  /// one; an update that follows an undelivered one replaces it.
  void addUpdate(Commands update);

  bool awaitingReply() const { return state_ == DeliveryState::AwaitingReply; }
  /// Whether the update was not completely delivered and its delivery was not taken yet.
  bool undelivered() const { return state_ == DeliveryState::Undelivered; }
  /// Whether a connection is needed, either to send a call or to verify that the relay is reachable before a
  /// failed delivery is reported.
  bool needsConnection() const;
  /// Number of commands not sent yet.
  std::size_t pending() const { return pending_.size(); }
  /// Number of commands held, as a measure of memory use.
  std::size_t recordCount() const;

  /// Starts the next call and returns its line with the line end. Requires pending commands and no call in
  /// flight.
  std::string beginCall();
  /// Handles the relay's reply to the call in flight, given without its line end. Requires a call in flight.
  CallResult onReply(const std::string& line);
  /// Reports that the connection was lost or could not be established. A call in flight then has an unknown
  /// outcome: it was executed completely or not at all.
  void onConnectionLost();
  /// Reports that a proxy has acknowledged an update, which proves that the call with the corresponding
  /// request was executed.
  void onAcknowledged(int updateId);
  /// Reports that a call was executed, as the store shows. Ignored unless this is the call whose unknown
  /// outcome holds up the current update.
  void onCallConfirmed(CallId call);

  /// Whether the delivery of the update is known and was not taken yet.
  bool hasDelivery() const;
  /// Returns the delivery of the update and clears it. Requires hasDelivery().
  UpdateDelivery takeDelivery();

  /// The call in flight, or the last call of an undelivered update.
  const Call& inFlight() const { return inFlight_; }
  /// The call whose unknown outcome holds up the current update; 0: there is none.
  CallId unconfirmed() const { return undelivered() && isOutcomeUnknown_ ? inFlight_.id : 0; }
  /// Sets the function that is called for each command that the relay has accepted, in order.
  void onAccepted(std::function<void(const Command&)> sink) { acceptedHandler_ = std::move(sink); }
  /// Sets the function that is called when the outcome of a call is known or will not be known from a reply,
  /// after the accepted commands of the call.
  void onSettled(std::function<void(const SettledCall&)> sink) { settledHandler_ = std::move(sink); }
  /// The last command that the relay rejected, or the first command of the last call that it rejected as
  /// invalid.
  const std::string& rejectedCommand() const { return rejectedCommand_; }

  /// Totals since the start.
  struct Counts {
    std::uint64_t updates = 0;
    std::uint64_t calls = 0;
    /// Calls whose reply held a valid count of accepted commands.
    std::uint64_t answered = 0;
    /// Updates that were not completely delivered or whose outcome was unknown. Includes those confirmed
    /// later.
    std::uint64_t undelivered = 0;
    /// Calls of unknown outcome that the store or an acknowledgement confirmed later.
    std::uint64_t confirmed = 0;
    /// Commands discarded at the limit of pending commands.
    std::uint64_t commandsLost = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  /// Delivery of the current update. Transitions:
  /// Idle -> AwaitingReply (beginCall) -> Idle, Delivered or Undelivered (onReply, onConnectionLost);
  /// Idle -> Undelivered (onConnectionLost);
  /// Undelivered -> Delivered (onAcknowledged, onCallConfirmed);
  /// Delivered, Undelivered -> Idle (takeDelivery, addUpdate).
  enum class DeliveryState { Idle, AwaitingReply, Delivered, Undelivered };
  CallResult onAcceptedCount(std::size_t accepted);
  CallResult dropInvalidUpdate();
  void reportAccepted(std::size_t count) const;
  void reportSettled(CallOutcome outcome, std::size_t accepted) const;
  void onCallExecuted();
  void completeCall();
  void onUnconfirmedCallExecuted();
  /// Ends the current update. `outcome` and `accepted` are those of the call in flight, if there is one.
  void markUndelivered(CallOutcome outcome, std::size_t accepted);
  void discardUndelivered();

  const std::size_t pendingMax_;
  DeliveryState state_ = DeliveryState::Idle;
  /// Id of the current update; -1 before the first.
  int updateId_ = -1;
  /// Calls of the current update that were or may have been executed.
  int messageCount_ = 0;
  /// Number of consecutive `invalid` replies.
  int invalidReplies_ = 0;
  std::deque<Command> pending_;
  Call inFlight_;
  /// Whether the update is undelivered because of the unknown outcome of `inFlight_`.
  bool isOutcomeUnknown_ = false;
  std::string rejectedCommand_;
  /// Commands that the relay rejected twice; they are omitted until an update is accepted.
  std::vector<std::string> droppedCommands_;
  std::function<void(const Command&)> acceptedHandler_;
  std::function<void(const SettledCall&)> settledHandler_;
  Counts counts_;
};

}  // namespace peargrade::relay
