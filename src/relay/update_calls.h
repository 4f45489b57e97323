// The commands of table updates on their way to the relay, without sockets: what is pending, what is in a
// call, and what became of each update.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "peargrade/events.h"
#include "relay/command.h"

namespace peargrade::relay {

/// How a reply to a call was understood.
enum class CallResult {
  Accepted,           // all commands of the call
  PartiallyAccepted,  // the relay halted at a command
  Dropped,            // it halted at the same command twice running: later updates leave that command out
  Throttled,          // the call was not executed
  Invalid,            // rejected as invalid so often that its commands are given up
  Malformed,          // cannot be read: the caller ends the connection
};

/// Sends one table update at a time, as calls within the relay's size limit, and finds out what became of it.
///
/// Replies may be corrupt, so no single reply loses a command. A call whose outcome is unknown is never
/// repeated as it is: its update is reported as incomplete, and the engine decides what is still wanted.
class UpdateCalls {
 public:
  /// Bytes of commands in a call; the relay's limit.
  static constexpr std::size_t kCallBytesMax = 60000;
  /// Replies `invalid` in a row until they are believed.
  static constexpr int kInvalidRepliesMax = 5;

  /// `pendingMax`: commands that may be pending; beyond it the oldest are lost.
  explicit UpdateCalls(std::size_t pendingMax) : pendingMax_(pendingMax) {}

  /// Adds the commands of one update. The caller adds the next one only after the delivery of this one was
  /// taken. An update that follows an undelivered one replaces it.
  void addUpdate(Commands update);

  bool awaitingReply() const { return state_ == DeliveryState::AwaitingReply; }
  /// The update was not delivered completely, and that is not reported yet.
  bool undelivered() const { return state_ == DeliveryState::Undelivered; }
  /// Needs a connection: for a call, or to show that the relay is back before a failure is reported.
  bool needsConnection() const;
  std::size_t pending() const { return pending_.size(); }
  /// Commands that are held in all.
  std::size_t recordCount() const;

  /// Starts the next call and returns its line, with the line end. Only while commands are pending and no
  /// reply is awaited.
  std::string beginCall();
  /// The relay's reply to the call, without its line end. Only while one is awaited.
  CallResult onReply(const std::string& line);
  /// The connection was lost, or none came up. A call that awaited its reply was executed completely or not
  /// at all.
  void onConnectionLost();
  /// A proxy has acknowledged an update: evidence that the call which asked for it was executed.
  void onAcknowledged(int updateId);
  /// The store shows that a call was executed. Counts only if its outcome is the one that is unknown.
  void onCallShown(CallId call);

  /// Whether the fate of the update is known and not taken yet.
  bool hasDelivery() const;
  /// The fate of the update, once. Only while hasDelivery().
  UpdateDelivery takeDelivery();

  /// Commands of the call that awaits its reply, or of the last call of an undelivered update.
  const Call& inFlight() const { return inFlight_; }
  /// The last call whose outcome is unknown, until an update has been accepted since. Later calls may have
  /// been sent meanwhile.
  const Call& unconfirmed() const { return unconfirmed_; }
  /// Calls `sink` for each command that the relay has accepted, in order.
  void onAccepted(std::function<void(const Command&)> sink) { accepted_ = std::move(sink); }
  /// The command that the relay last halted at, or the first one of the call that it rejected as invalid.
  const std::string& rejectedCommand() const { return rejectedCommand_; }

  /// Totals since the start.
  struct Counts {
    std::uint64_t updates = 0;
    std::uint64_t calls = 0;
    /// Calls with a reply that gives a count.
    std::uint64_t answered = 0;
    /// Updates that were not delivered completely, as far as was known at first.
    std::uint64_t undelivered = 0;
    /// Calls of unknown outcome that evidence confirmed.
    std::uint64_t confirmed = 0;
    /// Commands lost to the limit of pending ones.
    std::uint64_t commandsLost = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  /// Idle -> AwaitingReply (beginCall) -> Idle, Delivered or Undelivered (onReply, onConnectionLost);
  /// Idle -> Undelivered (onConnectionLost); Undelivered -> Delivered (evidence);
  /// Delivered, Undelivered -> Idle (takeDelivery, addUpdate).
  enum class DeliveryState { Idle, AwaitingReply, Delivered, Undelivered };
  enum class Execution { None, Unknown };

  CallResult onCount(std::size_t accepted);
  CallResult giveUpInvalid();
  void reportAccepted(std::size_t count) const;
  void onCallExecuted();
  void onUnconfirmedCallExecuted();
  void endUndelivered(Execution execution);
  void discardUndelivered();

  const std::size_t pendingMax_;
  DeliveryState state_ = DeliveryState::Idle;
  /// Of the update; -1 before the first.
  int updateId_ = -1;
  /// Calls of the update that were or may have been executed.
  int messages_ = 0;
  /// Replies `invalid` in a row.
  int invalidReplies_ = 0;
  std::deque<Command> pending_;
  Call inFlight_;
  Call unconfirmed_;
  std::string rejectedCommand_;
  /// Texts of commands that the relay halted at twice, left out until an update is accepted.
  std::vector<std::string> droppedCommands_;
  std::function<void(const Command&)> accepted_;
  Counts counts_;
};

}  // namespace peargrade::relay
