#include "relay/update_calls.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace peargrade::relay {
namespace {

/// Replies of this size or more, in bytes, are not searched for an error code.
constexpr std::size_t kErrorReplyBytesMax = 200;
constexpr char kAcceptedPrefix[] = "OK ";
constexpr std::size_t kAcceptedPrefixBytes = sizeof kAcceptedPrefix - 1;

bool isAcceptance(const std::string& reply) {
  return reply.compare(0, kAcceptedPrefixBytes, kAcceptedPrefix) == 0;
}

/// The number of accepted commands in an `OK` reply; nullopt if it is malformed.
std::optional<std::size_t> parseAcceptedCount(const std::string& reply) {
  std::size_t count = 0;
  const char* const last = reply.data() + reply.size();
  const auto end = std::from_chars(reply.data() + kAcceptedPrefixBytes, last, count);
  if (end.ec != std::errc() || end.ptr != last) return std::nullopt;
  return count;
}

bool isError(const std::string& reply, const char* code) {
  return reply.size() < kErrorReplyBytesMax && reply.find(code) != std::string::npos;
}

}  // namespace

void UpdateCalls::addUpdate(Commands update) {
  ++counts_.updates;
  if (undelivered()) discardUndelivered();
  if (state_ == DeliveryState::Delivered) state_ = DeliveryState::Idle;
  messageCount_ = 0;
  for (Command& command : update) {
    if (const auto updateId = requestedAcknowledgement(command)) updateId_ = *updateId;
    const bool dropped =
        std::find(droppedCommands_.begin(), droppedCommands_.end(), command.text) != droppedCommands_.end();
    if (dropped) continue;
    if (pending_.size() >= pendingMax_) {
      ++counts_.commandsLost;
      pending_.pop_front();
    }
    pending_.push_back(std::move(command));
  }
}

bool UpdateCalls::needsConnection() const {
  return undelivered() || (state_ == DeliveryState::Idle && !pending_.empty());
}

std::size_t UpdateCalls::recordCount() const {
  return pending_.size() + inFlight_.commands.size() + droppedCommands_.size();
}

std::string UpdateCalls::beginCall() {
  ++counts_.calls;
  ++messageCount_;
  inFlight_ = Call{counts_.calls, {}};
  std::string text;
  while (!pending_.empty()) {
    Command& command = pending_.front();
    if (!inFlight_.commands.empty() && text.size() + 1 + command.text.size() > kCallBytesMax) break;
    text += (text.empty() ? "" : ";") + command.text;
    inFlight_.commands.push_back(std::move(command));
    pending_.pop_front();
  }
  state_ = DeliveryState::AwaitingReply;
  return "APPLY " + text + "\r\n";
}

CallResult UpdateCalls::onReply(const std::string& line) {
  if (isAcceptance(line)) {
    const auto count = parseAcceptedCount(line);
    if (!count || *count > inFlight_.commands.size()) return CallResult::Malformed;
    return onAcceptedCount(*count);
  }
  if (isError(line, "throttled")) {
    markUndelivered(CallOutcome::NotExecuted, 0);
    return CallResult::Throttled;
  }
  // A corrupt reply may read `invalid`, so a single one leaves the outcome unknown. An update that gets only
  // such replies is dropped, because it would block all later updates.
  if (isError(line, "invalid") && ++invalidReplies_ >= kInvalidRepliesMax) return dropInvalidUpdate();
  return CallResult::Malformed;
}

CallResult UpdateCalls::onAcceptedCount(std::size_t accepted) {
  ++counts_.answered;
  invalidReplies_ = 0;
  if (accepted == inFlight_.commands.size()) {
    rejectedCommand_.clear();
    onCallExecuted();
    return CallResult::Accepted;
  }
  reportAccepted(accepted);
  // A corrupt count must not drop a command: drop it only when two replies in a row reject the same one.
  const std::string& rejected = inFlight_.commands[accepted].text;
  const bool repeated = rejected == rejectedCommand_;
  rejectedCommand_ = rejected;
  if (repeated) droppedCommands_.push_back(rejectedCommand_);
  markUndelivered(CallOutcome::Unknown, accepted);
  return repeated ? CallResult::Dropped : CallResult::PartiallyAccepted;
}

CallResult UpdateCalls::dropInvalidUpdate() {
  invalidReplies_ = 0;
  rejectedCommand_ = inFlight_.commands.empty() ? "" : inFlight_.commands.front().text;
  reportSettled(CallOutcome::Unknown, 0);
  pending_.clear();
  completeCall();
  return CallResult::Invalid;
}

void UpdateCalls::reportAccepted(std::size_t count) const {
  if (!acceptedHandler_) return;
  for (std::size_t k = 0; k < count; ++k) acceptedHandler_(inFlight_.commands[k]);
}

void UpdateCalls::reportSettled(CallOutcome outcome, std::size_t accepted) const {
  if (settledHandler_) settledHandler_({inFlight_.id, outcome, accepted});
}

void UpdateCalls::onCallExecuted() {
  reportAccepted(inFlight_.commands.size());
  reportSettled(CallOutcome::Executed, inFlight_.commands.size());
  completeCall();
}

// An update is delivered once its last call has been executed.
void UpdateCalls::completeCall() {
  inFlight_ = Call();
  state_ = DeliveryState::Idle;
  if (!pending_.empty()) return;
  state_ = DeliveryState::Delivered;
  droppedCommands_.clear();
}

void UpdateCalls::markUndelivered(CallOutcome outcome, std::size_t accepted) {
  ++counts_.undelivered;
  isOutcomeUnknown_ = outcome == CallOutcome::Unknown;
  if (outcome == CallOutcome::NotExecuted && awaitingReply()) --messageCount_;
  if (awaitingReply()) reportSettled(outcome, accepted);
  state_ = DeliveryState::Undelivered;
}

// The next update replaces the undelivered one, so its remaining commands are discarded.
void UpdateCalls::discardUndelivered() {
  inFlight_ = Call();
  pending_.clear();
  state_ = DeliveryState::Idle;
}

void UpdateCalls::onConnectionLost() {
  if (awaitingReply()) return markUndelivered(CallOutcome::Unknown, 0);
  if (state_ == DeliveryState::Idle && !pending_.empty()) markUndelivered(CallOutcome::NotExecuted, 0);
}

void UpdateCalls::onAcknowledged(int updateId) {
  const Commands& commands = inFlight_.commands;
  const bool requested = std::any_of(commands.begin(), commands.end(), [&](const Command& command) {
    return requestedAcknowledgement(command) == updateId;
  });
  if (requested) onCallConfirmed(inFlight_.id);
}

// Evidence for an earlier call proves nothing about the call that is undelivered now, so the ids must match.
void UpdateCalls::onCallConfirmed(CallId call) {
  if (call != 0 && call == unconfirmed()) onUnconfirmedCallExecuted();
}

void UpdateCalls::onUnconfirmedCallExecuted() {
  ++counts_.confirmed;
  invalidReplies_ = 0;
  if (pending_.empty()) return onCallExecuted();
  reportAccepted(inFlight_.commands.size());  // the remaining commands of the update are still undelivered
  reportSettled(CallOutcome::Executed, inFlight_.commands.size());
  inFlight_ = Call();
}

bool UpdateCalls::hasDelivery() const {
  return state_ == DeliveryState::Delivered || state_ == DeliveryState::Undelivered;
}

UpdateDelivery UpdateCalls::takeDelivery() {
  const DeliveryOutcome outcome = undelivered() ? DeliveryOutcome::Incomplete : DeliveryOutcome::Accepted;
  const UpdateDelivery delivery{updateId_, outcome, messageCount_};
  if (undelivered()) discardUndelivered();
  state_ = DeliveryState::Idle;
  return delivery;
}

}  // namespace peargrade::relay
