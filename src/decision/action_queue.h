// The actions of the batch being handled, in their order.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "peargrade/actions.h"

namespace peargrade::decision {

/// Collects actions. Components append; the engine takes them at the end of a batch.
class ActionQueue {
 public:
  /// `action`: an Action or one of its alternatives.
  template <class Alternative>
  void add(Alternative&& action) {
    actions_.emplace_back(std::forward<Alternative>(action));
  }
  void log(std::string text) { actions_.emplace_back(Log{std::move(text)}); }
  std::vector<Action> take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace peargrade::decision
