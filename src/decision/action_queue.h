// The actions that result from the current batch of events.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "peargrade/actions.h"

namespace peargrade::decision {

/// Collects actions in order. Components append actions; the engine removes all of them at the end of a
/// batch.
class ActionQueue {
 public:
  /// `action`: an Action or one of its alternatives.
  template <class Alternative>
  void add(Alternative&& action) {
    actions_.emplace_back(std::forward<Alternative>(action));
  }
  void log(std::string text) { actions_.emplace_back(Log{std::move(text)}); }
  /// Returns all actions and empties the queue.
  std::vector<Action> take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace peargrade::decision
