// What an action on the proxies sets: a newer action with the same target replaces it.
#pragma once

#include <vector>

#include "peargrade/actions.h"

namespace peargrade::decision {

/// The table that an action of an update changes; kAllTables where it concerns all of them.
[[nodiscard]] TableId tableOf(const Action& action);

/// Drops the actions that a later one with the same target replaces; the order of the others stays.
void dropSuperseded(std::vector<Action>& actions);

}  // namespace peargrade::decision
