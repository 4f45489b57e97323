#include "decision/action_target.h"

#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>
#include <variant>

namespace peargrade::decision {
namespace {

/// Index of the action's alternative, table, server, mask of request classes.
using ActionTarget = std::tuple<std::size_t, TableId, ServerId, unsigned>;

ActionTarget targetOf(const Action& action) {
  if (const auto* route = std::get_if<SetRoute>(&action))
    return {action.index(), route->table, route->server, 0};
  if (const auto* clear = std::get_if<ClearTable>(&action)) return {action.index(), clear->table, {}, 0};
  if (const auto* ejection = std::get_if<SetEjection>(&action))
    return {action.index(), 0, ejection->server, 0};
  if (const auto* admission = std::get_if<SetAdmission>(&action))
    return {action.index(), admission->table, {}, admission->classMask};
  return {action.index(), 0, {}, 0};
}

}  // namespace

TableId tableOf(const Action& action) {
  return std::holds_alternative<SetEjection>(action) ? kAllTables : std::get<1>(targetOf(action));
}

void dropSuperseded(std::vector<Action>& actions) {
  std::set<ActionTarget> seen;
  std::vector<Action> kept;
  for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
    if (seen.insert(targetOf(*it)).second) kept.push_back(std::move(*it));
  }
  actions.assign(std::make_move_iterator(kept.rbegin()), std::make_move_iterator(kept.rend()));
}

}  // namespace peargrade::decision
