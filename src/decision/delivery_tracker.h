// The update in flight, and whether a decision waits for its outcome.
#pragma once

#include <utility>
#include <vector>

#include "peargrade/actions.h"
#include "peargrade/events.h"

namespace peargrade::decision {

/// At most one update is in flight where its delivery is reported; decisions in the meantime are held.
class DeliveryTracker {
 public:
  /// An update is sent whose delivery will be reported.
  void sendTracked(std::vector<Action> actions) {
    state_ = State::AwaitingOutcome;
    inFlight_ = std::move(actions);
  }
  /// An update is sent that counts as accepted at once.
  void sendUntracked() { state_ = State::Idle; }
  /// A decision could send nothing because of the update in flight.
  void holdDecision() {
    if (state_ == State::AwaitingOutcome) state_ = State::AwaitingOutcomeDecisionHeld;
  }
  /// The outcome is known. Returns the update's actions.
  std::vector<Action> recordOutcome(DeliveryOutcome outcome) {
    if (outcome != DeliveryOutcome::Accepted)
      state_ = State::RetryDue;
    else
      state_ = state_ == State::AwaitingOutcomeDecisionHeld ? State::DecisionDue : State::Idle;
    return std::exchange(inFlight_, {});
  }
  void beginDecision() {
    if (state_ == State::DecisionDue) state_ = State::Idle;
    if (state_ == State::RetryDue) state_ = State::RetryPending;
  }

  [[nodiscard]] bool isAwaitingOutcome() const {
    return state_ == State::AwaitingOutcome || state_ == State::AwaitingOutcomeDecisionHeld;
  }
  /// Whether the outcome calls for a decision now.
  [[nodiscard]] bool isDecisionDue() const {
    return state_ == State::DecisionDue || state_ == State::RetryDue;
  }
  /// Whether the last update was not delivered completely, and none was sent since.
  [[nodiscard]] bool needsRetry() const { return state_ == State::RetryDue || state_ == State::RetryPending; }

 private:
  enum class State {
    Idle,
    AwaitingOutcome,
    AwaitingOutcomeDecisionHeld,
    DecisionDue,   // accepted, and a decision was held
    RetryDue,      // not delivered completely
    RetryPending,  // the same, and a decision was made since
  };

  State state_ = State::Idle;
  std::vector<Action> inFlight_;
};

}  // namespace peargrade::decision
