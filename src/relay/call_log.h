// The calls whose effect on the relay's store is not settled, and what the store may contain because of them.
// Does no I/O.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "peargrade/types.h"
#include "relay/command.h"

namespace peargrade::relay {

/// Routes of a table: weights by server.
using Routes = std::map<ServerId, double>;
using Tables = std::map<TableId, Routes>;

/// Whether two tables hold the same servers with the same weights, up to the rounding of the store.
bool sameRoutes(const Routes& left, const Routes& right);
/// Applies a command to the routes of `table`. Commands for other tables change nothing.
void applyCommand(const Command& command, TableId table, Routes& routes);
/// The table whose routes a command changes; nullopt for other commands.
std::optional<TableId> changedTable(const Command& command);

/// What is known of the execution of a call.
enum class CallOutcome {
  Executed,     // all commands were executed
  NotExecuted,  // the commands that the relay has not accepted were not executed
  Unknown,      // the commands that the relay has not accepted were all executed or none of them
};

/// A call whose outcome is known as far as it ever will be from its reply.
struct SettledCall {
  CallId id = 0;
  CallOutcome outcome = CallOutcome::Unknown;
  /// Number of commands, from the first, that the relay has accepted.
  std::size_t accepted = 0;
};

/// Keeps calls in the order in which they were sent, from the first one whose effect is not settled. Several
/// calls of unknown outcome can follow each other, each executed or not, so the contents of a table are one
/// of several candidates. A call leaves the log as soon as every candidate of its tables is the same, or the
/// store has shown the tables, and at the latest with the end of a replay. The number of calls is limited:
/// beyond the limit the oldest is dropped, and its tables are untraceable until the store shows them.
class CallLog {
 public:
  /// Limit of the calls that are kept.
  static constexpr std::size_t kCallsMax = 16;
  /// Limit of the candidates of one table; beyond it they are unknown.
  static constexpr std::size_t kCandidatesMax = 64;

  /// Records that a call is sent. `tables`: the contents of the store after the calls that were accepted so
  /// far.
  void addCall(const Call& call, const Tables& tables);
  void settle(const SettledCall& settled);
  /// Records that the store has shown the routes of a table, after all calls before `firstNotShown`. Later
  /// calls may or may not be contained.
  void rebase(TableId table, const Routes& routes, CallId firstNotShown);
  /// Forgets the calls before `firstNotShown`: the store has shown all tables after them.
  void forgetBefore(CallId firstNotShown);
  /// Forgets a table that is not assigned any more.
  void forgetTable(TableId table);
  /// Keeps the calls from `first` on, even if they are settled, until `release()`: a replay in progress may
  /// not contain them.
  void hold(CallId first);
  void release();

  /// Whether a call changes the routes of a table that is not settled.
  bool concerns(TableId table) const;
  /// Whether the store may contain these routes for a table that calls of the log change.
  bool mayContain(TableId table, const Routes& routes) const;
  /// Calls of unknown outcome without which the store could not contain these routes.
  std::vector<CallId> callsShownBy(TableId table, const Routes& routes) const;
  /// Calls of unknown outcome with which the store could not contain these routes.
  std::vector<CallId> callsRefutedBy(TableId table, const Routes& routes) const;
  /// `routes`, which the store has shown, after the held calls that were accepted.
  Routes afterAcceptedCalls(TableId table, Routes routes) const;

  /// Number of calls whose outcome is unknown.
  std::size_t unknownCalls() const;
  /// Number of commands and routes held, as a measure of memory use.
  std::size_t recordCount() const;

 private:
  enum class State { InFlight, Unknown, Executed };
  /// A command that changes a table, with its position in the call.
  struct TableCommand {
    std::size_t position;
    Command command;
  };
  struct Entry {
    CallId id = 0;
    /// Number of commands of the call, and of those that the relay has accepted.
    std::size_t size = 0;
    std::size_t accepted = 0;
    State state = State::InFlight;
    std::map<TableId, std::vector<TableCommand>> commands;
  };
  /// A table that calls of the log change.
  struct Table {
    Routes base;
    /// The base contains the effect of all calls before this one.
    CallId firstNotInBase = 0;
    /// Whether a call that changes the table was dropped at the limit.
    bool isUntraceable = false;
  };
  /// Which executions of one call are considered.
  enum class Assumption { Executed, NotExecuted };
  struct Condition {
    CallId call = 0;
    Assumption assumption = Assumption::Executed;
  };
  using Candidates = std::vector<Routes>;

  bool isHeld(const Entry& entry) const { return held_ && entry.id >= *held_; }
  /// How many commands of a call, from the first, may be in the store: one or more possible numbers.
  std::vector<std::size_t> possibleLengths(const Entry& entry, const Condition* condition) const;
  /// The commands of a call that change the table and are not contained in its base; nullptr if there are
  /// none.
  const std::vector<TableCommand>* commandsFor(const Entry& entry, TableId table) const;
  static void apply(const std::vector<TableCommand>& commands, std::size_t length, TableId table,
                    Routes& routes);
  /// The candidates of a table, optionally only those in which one call was executed or not; nullopt if they
  /// are unknown.
  std::optional<Candidates> candidates(TableId table, const Condition* condition) const;
  bool isPossible(TableId table, const Routes& routes, const Condition& condition) const;
  bool isSettled(const Entry& entry) const;
  void trim();
  void dropOldest();

  std::deque<Entry> entries_;
  std::map<TableId, Table> tables_;
  /// First call that is kept for a replay in progress.
  std::optional<CallId> held_;
};

}  // namespace peargrade::relay
