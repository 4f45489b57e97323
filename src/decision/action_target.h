// The target of an action: the routing state of the proxies that it sets. Of several actions with the same
// target, only the last has an effect.
#pragma once

#include <vector>

#include "peargrade/actions.h"

namespace peargrade::decision {

/// The table that an action of an update changes; kAllTables if it changes all tables.
[[nodiscard]] TableId tableOf(const Action& action);

/// Removes the actions that are followed by an action with the same target. Keeps the order of the others.
void dropSuperseded(std::vector<Action>& actions);

}  // namespace peargrade::decision
