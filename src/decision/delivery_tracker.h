// State machine of the last update's delivery: whether its outcome is known, and what follows from it.
#pragma once

#include <utility>
#include <vector>

#include "peargrade/actions.h"
#include "peargrade/events.h"

namespace peargrade::decision {

/// Where deliveries are reported (Settings::deliveryReported), the next update is sent only when the outcome
/// of the last one is known. A decision made in the meantime is held: another decision is due with the
/// outcome.
class DeliveryTracker {
 public:
  /// Records that an update is sent whose delivery will be reported.
  void sendTracked(std::vector<Action> actions) {
    state_ = State::AwaitingOutcome;
    inFlight_ = std::move(actions);
  }
  /// Records that an update is sent whose delivery is not reported. It counts as accepted at once.
  void sendUntracked() { state_ = State::Idle; }
  /// Records that a decision is made. If it cannot send an update because an outcome is awaited, it is held.
  void holdDecision() {
    if (state_ == State::AwaitingOutcome) state_ = State::AwaitingOutcomeDecisionHeld;
  }
  /// Records the outcome of the update. Returns the update's actions.
  std::vector<Action> recordOutcome(DeliveryOutcome outcome) {
    if (outcome != DeliveryOutcome::Accepted)
      state_ = State::RetryDue;
    else
      state_ = state_ == State::AwaitingOutcomeDecisionHeld ? State::DecisionDue : State::Idle;
    return std::exchange(inFlight_, {});
  }
  /// Records that a decision begins: it is no longer due.
  void beginDecision() {
    if (state_ == State::DecisionDue) state_ = State::Idle;
    if (state_ == State::RetryDue) state_ = State::RetryPending;
  }

  [[nodiscard]] bool isAwaitingOutcome() const {
    return state_ == State::AwaitingOutcome || state_ == State::AwaitingOutcomeDecisionHeld;
  }
  /// Whether the outcome requires a decision now.
  [[nodiscard]] bool isDecisionDue() const {
    return state_ == State::DecisionDue || state_ == State::RetryDue;
  }
  /// Whether the delivery of the last update was incomplete, and no update was sent since.
  [[nodiscard]] bool needsRetry() const { return state_ == State::RetryDue || state_ == State::RetryPending; }

 private:
  enum class State {
    Idle,                         // no outcome is awaited
    AwaitingOutcome,              // an update was sent, and no decision was made since
    AwaitingOutcomeDecisionHeld,  // an update was sent, and a decision was made since
    DecisionDue,                  // the update was accepted, and a decision was held
    RetryDue,                     // the delivery was incomplete, and no decision was made since
    RetryPending,                 // the delivery was incomplete, and a decision was made since
  };

  State state_ = State::Idle;
  std::vector<Action> inFlight_;
};

}  // namespace peargrade::decision
