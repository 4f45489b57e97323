// The target of an action: the routing state of the proxies that it sets. Of several actions with the same
// target, only the last has an effect.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/published_admission.h"
#include "peargrade/actions.h"

namespace peargrade::decision {

/// The table that an action of an update changes; kAllTables if it changes all tables.
[[nodiscard]] TableId tableOf(const Action& action);

/// Whether an action sets the admission of a request class.
[[nodiscard]] inline bool selects(const SetAdmission& action, std::size_t requestClass) {
  return action.classMask == 0 || (action.classMask & (1u << requestClass)) != 0;
}

/// The admission that an action sets.
[[nodiscard]] inline Admission admissionOf(const SetAdmission& action) {
  return {action.ratio, action.retryPolicy};
}

/// Removes the actions that are followed by an action with the same target. Keeps the order of the others.
void dropSuperseded(std::vector<Action>& actions);

}  // namespace peargrade::decision
