#include "relay/call_log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peargrade::relay {
namespace {

/// Weights are equal up to this difference, because the store rounds them. The difference is relative for
/// weights above 1 and absolute below.
constexpr double kWeightTolerance = 1e-6;

bool sameWeight(double left, double right) {
  return std::abs(left - right) <= kWeightTolerance * std::max(1.0, std::abs(left));
}

bool contains(const std::vector<Routes>& candidates, const Routes& routes) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const Routes& candidate) { return sameRoutes(candidate, routes); });
}

}  // namespace

bool sameRoutes(const Routes& left, const Routes& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto& a, const auto& b) {
    return a.first == b.first && sameWeight(a.second, b.second);
  });
}

std::optional<TableId> changedTable(const Command& command) {
  if (const auto* clear = std::get_if<ClearTable>(&command.action)) return clear->table;
  if (const auto* route = std::get_if<SetRoute>(&command.action)) return route->table;
  return std::nullopt;
}

void applyCommand(const Command& command, TableId table, Routes& routes) {
  if (changedTable(command) != table) return;
  const auto* route = std::get_if<SetRoute>(&command.action);
  if (route == nullptr)
    routes.clear();
  else if (route->weight > 0)
    routes[route->server] = route->weight;
  else
    routes.erase(route->server);
}

void CallLog::addCall(const Call& call, const Tables& tables) {
  if (entries_.size() >= kCallsMax) dropOldest();
  Entry entry;
  entry.id = call.id;
  entry.size = call.commands.size();
  for (std::size_t position = 0; position < call.commands.size(); ++position) {
    const Command& command = call.commands[position];
    const auto table = changedTable(command);
    if (!table) continue;
    const auto stored = tables.find(*table);
    if (stored == tables.end()) continue;  // the store ignores commands for unassigned slices
    entry.commands[*table].push_back({position, command});
    tables_.try_emplace(*table, Table{stored->second, call.id, false});
  }
  entries_.push_back(std::move(entry));
}

void CallLog::settle(const SettledCall& settled) {
  const auto entry = std::find_if(entries_.begin(), entries_.end(),
                                  [&](const Entry& other) { return other.id == settled.id; });
  if (entry == entries_.end()) return;
  entry->accepted = std::max(entry->accepted, settled.accepted);
  if (settled.outcome == CallOutcome::NotExecuted) entry->size = entry->accepted;
  if (settled.outcome == CallOutcome::Executed) entry->accepted = entry->size;
  entry->state = settled.outcome == CallOutcome::Unknown ? State::Unknown : State::Executed;
  trim();
}

void CallLog::rebase(TableId table, const Routes& routes, CallId firstNotShown) {
  const auto it = tables_.find(table);
  if (it == tables_.end()) return;
  it->second = {routes, firstNotShown, false};
}

void CallLog::forgetBefore(CallId firstNotShown) {
  while (!entries_.empty() && entries_.front().id < firstNotShown) entries_.pop_front();
  trim();
}

void CallLog::forgetTable(TableId table) {
  tables_.erase(table);
  trim();
}

void CallLog::hold(CallId first) { held_ = first; }

void CallLog::release() {
  held_.reset();
  trim();
}

bool CallLog::concerns(TableId table) const { return tables_.count(table) > 0; }

std::vector<std::size_t> CallLog::possibleLengths(const Entry& entry, const Condition* condition) const {
  const bool isConditional = condition != nullptr && condition->call == entry.id;
  if (isConditional && condition->assumption == Assumption::Executed) return {entry.size};
  std::vector<std::size_t> lengths{entry.accepted};
  if (isHeld(entry) && entry.accepted > 0) lengths.push_back(0);
  if (!isConditional && entry.accepted < entry.size) lengths.push_back(entry.size);
  return lengths;
}

const std::vector<CallLog::TableCommand>* CallLog::commandsFor(const Entry& entry, TableId table) const {
  if (entry.id < tables_.at(table).firstNotInBase) return nullptr;
  const auto commands = entry.commands.find(table);
  return commands == entry.commands.end() ? nullptr : &commands->second;
}

void CallLog::apply(const std::vector<TableCommand>& commands, std::size_t length, TableId table,
                    Routes& routes) {
  for (const TableCommand& command : commands) {
    if (command.position < length) applyCommand(command.command, table, routes);
  }
}

std::optional<CallLog::Candidates> CallLog::candidates(TableId table, const Condition* condition) const {
  const Table& start = tables_.at(table);
  if (start.isUntraceable) return std::nullopt;
  Candidates candidates{start.base};
  for (const Entry& entry : entries_) {
    const std::vector<TableCommand>* commands = commandsFor(entry, table);
    if (commands == nullptr) continue;
    Candidates next;
    for (const std::size_t length : possibleLengths(entry, condition)) {
      for (Routes routes : candidates) {
        apply(*commands, length, table, routes);
        if (!contains(next, routes)) next.push_back(std::move(routes));
      }
    }
    if (next.size() > kCandidatesMax) return std::nullopt;
    candidates = std::move(next);
  }
  return candidates;
}

bool CallLog::isPossible(TableId table, const Routes& routes, const Condition& condition) const {
  const auto possible = candidates(table, &condition);
  return !possible || contains(*possible, routes);
}

bool CallLog::mayContain(TableId table, const Routes& routes) const {
  if (!concerns(table)) return false;
  const auto possible = candidates(table, nullptr);
  return possible && contains(*possible, routes);
}

std::vector<CallId> CallLog::callsShownBy(TableId table, const Routes& routes) const {
  std::vector<CallId> calls;
  if (!concerns(table)) return calls;
  for (const Entry& entry : entries_) {
    const bool isUnknown = entry.state != State::Executed;
    if (isUnknown && !isPossible(table, routes, {entry.id, Assumption::NotExecuted}))
      calls.push_back(entry.id);
  }
  return calls;
}

// A call that a replay may not contain is not refuted by it.
std::vector<CallId> CallLog::callsRefutedBy(TableId table, const Routes& routes) const {
  std::vector<CallId> calls;
  if (!concerns(table)) return calls;
  for (const Entry& entry : entries_) {
    const bool isUnknown = entry.state != State::Executed && !isHeld(entry);
    if (isUnknown && !isPossible(table, routes, {entry.id, Assumption::Executed})) calls.push_back(entry.id);
  }
  return calls;
}

// Commands set absolute values, so those that `routes` already contains can be applied again.
Routes CallLog::afterAcceptedCalls(TableId table, Routes routes) const {
  for (const Entry& entry : entries_) {
    const auto commands = entry.commands.find(table);
    if (isHeld(entry) && commands != entry.commands.end())
      apply(commands->second, entry.accepted, table, routes);
  }
  return routes;
}

std::size_t CallLog::unknownCalls() const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [](const Entry& entry) { return entry.state == State::Unknown; }));
}

std::size_t CallLog::recordCount() const {
  std::size_t count = 0;
  for (const Entry& entry : entries_) {
    ++count;
    for (const auto& [table, commands] : entry.commands) count += commands.size();
  }
  for (const auto& [table, start] : tables_) count += 1 + start.base.size();
  return count;
}

/// Whether nothing depends on the execution of a call any more.
bool CallLog::isSettled(const Entry& entry) const {
  if (isHeld(entry) || entry.state == State::InFlight) return false;
  if (entry.state == State::Executed) return true;
  return std::all_of(entry.commands.begin(), entry.commands.end(), [&](const auto& commands) {
    const TableId table = commands.first;
    if (!concerns(table) || commandsFor(entry, table) == nullptr) return true;
    const auto possible = candidates(table, nullptr);
    return possible && possible->size() == 1;
  });
}

// A call leaves the log only after those before it, so that the base of each table stays the state before the
// first call of the log.
void CallLog::trim() {
  while (!entries_.empty() && isSettled(entries_.front())) {
    const Entry& entry = entries_.front();
    for (const auto& [table, commands] : entry.commands) {
      const bool isInBase = !concerns(table) || commandsFor(entry, table) == nullptr;
      if (!isInBase) apply(commands, entry.accepted, table, tables_.at(table).base);
    }
    entries_.pop_front();
  }
  if (entries_.empty()) tables_.clear();
}

void CallLog::dropOldest() {
  const Entry& entry = entries_.front();
  for (const auto& [table, commands] : entry.commands) {
    const bool isInBase = !concerns(table) || commandsFor(entry, table) == nullptr;
    if (!isInBase) tables_.at(table).isUntraceable = true;
  }
  entries_.pop_front();
}

}  // namespace peargrade::relay
