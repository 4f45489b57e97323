#include "decision/update_scheduler.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "decision/action_target.h"

namespace peargrade::decision {
namespace {

/// Longest assumed time between the connection or disconnection of a proxy and the handling of its event.
constexpr Micros kConnectionEventLag = 1 * kSecond;
/// Largest share of an update that admission ratios may use. They change often under overload, and would
/// otherwise leave no capacity for migrations.
constexpr double kMaxRatioShare = 0.5;
/// Shortest interval between two repetitions of missed updates. After a failure, proxies reconnect over
/// several seconds, and a repetition for each of them would use up the channel.
constexpr Micros kRepeatInterval = 2 * kSecond;

}  // namespace

UpdateScheduler::UpdateScheduler(const Settings& settings, const Clock& clock, const Sources& sources,
                                 UpdateBudget& budget, UpdateChannel& channel, ActionQueue& actions)
    : settings_(settings),
      clock_(clock),
      sources_(sources),
      budget_(budget),
      channel_(channel),
      actions_(actions),
      routes_(sources.ejections),
      handover_(settings, clock),
      applied_(clock),
      recent_(clock),
      ejections_(clock, applied_, actions),
      admission_(settings, clock, sources.admission, actions) {}

void UpdateScheduler::connectProxy(const ProxyConnected& event, SliceMap& slices) {
  channel_.connect(event.proxy, clock_.now() - kConnectionEventLag);
  applied_.connect(event.proxy, event.newIncarnation);
  admission_.recordConnection();
  ejections_.recordConnection();
  if (handover_.recordConnection(slices, event.proxy, kConnectionEventLag))
    budget_.recordMissedAcknowledgements();
}

void UpdateScheduler::disconnectProxy(ProxyId proxy, SliceMap& slices) {
  channel_.disconnect(proxy, clock_.now() - kConnectionEventLag);
  applied_.disconnect(proxy);
  handover_.recordDisconnection(slices, proxy);
}

void UpdateScheduler::recordAssignment(TableId table, SliceState& slice, ServerMap& servers) const {
  handover_.recordAssignment(slice);
  const std::vector<Action> changes = recent_.changesOf(table);
  for (const Action& change : changes) markUncertain(change, servers, slice);
  if (changes.empty()) return;
  actions_.log("slice " + std::to_string(table) + " was assigned within " +
               std::to_string(RecentUpdates::kReportLagMax / kSecond) + " s of " +
               std::to_string(changes.size()) + " changes of it: they are published again");
}

void UpdateScheduler::recordAcknowledgement(const UpdateAcknowledged& event, SliceMap& slices) {
  if (!channel_.acknowledge(event.proxy, event.updateId)) return;
  applied_.acknowledge(event.proxy, static_cast<UpdateNumber>(channel_.updatesSince(event.updateId)));
  handover_.recordAcknowledgement(slices, event.proxy, event.updateId);
}

void UpdateScheduler::recordDelivery(const UpdateDelivery& event, ServerMap& servers, SliceMap& slices) {
  if (!delivery_.isAwaitingOutcome() || event.updateId != channel_.lastUpdateId()) return;
  const std::vector<Action> update = delivery_.recordOutcome(event.outcome);
  budget_.recordDelivery(event.messages);
  if (!delivery_.needsRetry()) return;
  for (const Action& action : update) markUncertain(action, servers, slices);
  const bool wasAcknowledgementRequestOnly = update.size() == 1;
  if (wasAcknowledgementRequestOnly) budget_.recordMissedAcknowledgements();
}

// The fleet's admission ratios need no repetition: they are part of each message.
void UpdateScheduler::recordMissedAcknowledgements() {
  budget_.recordMissedAcknowledgements();
  applied_.recordUnobservedReconnects();
  ejections_.recordConnection();
}

// For a slice that was assigned after the update was sent, recordAssignment has done so.
void UpdateScheduler::markUncertain(const Action& action, ServerMap& servers, SliceMap& slices) {
  if (const auto* ejection = std::get_if<SetEjection>(&action))
    servers[ejection->server].ejection.markUnconfirmed();
  const TableId table = tableOf(action);
  const auto* admission = std::get_if<SetAdmission>(&action);
  if (admission != nullptr && table == kAllTables) admission_.markUncertain(*admission);
  const auto it = slices.find(table);
  if (it == slices.end() || it->second.assignedAt > budget_.lastSentAt()) return;
  markUncertain(action, servers, it->second);
}

void UpdateScheduler::markUncertain(const Action& action, ServerMap& servers, SliceState& slice) {
  if (const auto* route = std::get_if<SetRoute>(&action)) servers.try_emplace(route->server);
  slice.markUncertain(action);
}

void UpdateScheduler::beginDecision(ServerMap& servers, SliceMap& slices) {
  ejections_.markUnconfirmed(servers);
  repeatMissedUpdates(servers, slices);
  applied_.forgetExpired();
  delivery_.beginDecision();
}

void UpdateScheduler::repeatMissedUpdates(ServerMap& servers, SliceMap& slices) {
  if (clock_.now() < nextRepeatAt_) return;
  const std::optional<UpdateRange> missed = applied_.takeMissed();
  if (!missed) return;
  const std::size_t readmissions = ejections_.markMissedReadmissions(*missed, servers);
  const std::size_t tables = admission_.recordMissed(*missed, slices);
  if (readmissions + tables > 0) nextRepeatAt_ = clock_.now() + kRepeatInterval;
}

void UpdateScheduler::sendUpdate(ServerMap& servers, SliceMap& slices) {
  delivery_.holdDecision();
  admission_.trackForbiddenPolicies(slices);
  if (channel_.proxyCount() == 0 || delivery_.isAwaitingOutcome()) return;
  std::vector<PendingUpdate> pending = pendingUpdates(servers, slices);
  const std::vector<SetEjection> ejections = sources_.ejections.plan(servers, slices);
  const auto urgentEjections = std::count_if(ejections.begin(), ejections.end(), [&](const auto& ejection) {
    return !servers.at(ejection.server).ejection.mayRepeatLater(clock_.now());
  });
  std::sort(pending.begin(), pending.end());
  const std::optional<UpdatePriority> permitted =
      permittedPriority(pending, static_cast<std::size_t>(urgentEjections));
  if (permitted == UpdatePriority::RetryRestriction) {
    // The limits of more urgent parts allow no update now, so they take only what this one leaves.
    std::stable_partition(pending.begin(), pending.end(), [](const PendingUpdate& part) {
      return part.priority == UpdatePriority::RetryRestriction;
    });
  }
  std::vector<Action> update;
  if (permitted) update = fillUpdate(pending, servers, slices);
  const bool isAcknowledgementRequestOnly = update.empty();
  if (isAcknowledgementRequestOnly && !canRequestAcknowledgements()) return;
  dropSuperseded(update);
  logHandoverDelay(update);
  const double routes = budget_.messageOverhead() + static_cast<double>(update.size());
  const int updateId = budget_.send(routes);
  applied_.recordSent();
  recent_.record(update);
  update.emplace_back(
      AcknowledgementRequest{updateId, isAcknowledgementRequestOnly || settings_.hasSingleOwnerSlices()});
  for (const Action& action : update) actions_.add(action);
  if (!settings_.deliveryReported) {
    delivery_.sendUntracked();
    return;
  }
  channel_.awaitDelivery();
  delivery_.sendTracked(std::move(update));
}

void UpdateScheduler::logHandoverDelay(const std::vector<Action>& update) const {
  if (!settings_.hasSingleOwnerSlices()) return;
  const auto cleared = std::count_if(update.begin(), update.end(), [](const Action& action) {
    return std::holds_alternative<ClearTable>(action);
  });
  if (cleared > 0) {
    actions_.log("the store shows no owner of " + std::to_string(cleared) +
                 " slices: their tables are cleared before an owner is set");
  }
  const auto removals = cleared + std::count_if(update.begin(), update.end(), [](const Action& action) {
                          const auto* route = std::get_if<SetRoute>(&action);
                          return route != nullptr && route->weight <= 0;
                        });
  const std::size_t leases = handover_.leaseCount();
  if (removals == 0 || leases == 0) return;
  actions_.log("new owners of " + std::to_string(removals) + " slices wait for the leases of " +
               std::to_string(leases) + " disconnected proxies");
}

std::vector<PendingUpdate> UpdateScheduler::pendingUpdates(const ServerMap& servers,
                                                           const SliceMap& slices) const {
  std::vector<PendingUpdate> updates;
  for (const auto& [table, slice] : slices) {
    if (!settings_.hasSingleOwnerSlices() && !slice.isPublished())
      routes_.plan(table, slice, servers, updates);
    std::vector<Action> handover = handover_.nextRoutes(table, slice);
    if (!handover.empty())
      updates.push_back({UpdatePriority::Critical, -slice.heat, table, std::move(handover)});
    if (settings_.admissionUnit == AdmissionUnit::Ratio) admission_.plan(table, slice, servers, updates);
  }
  admission_.planAllTables(delivery_.needsRetry(), updates);
  return updates;
}

std::optional<UpdatePriority> UpdateScheduler::permittedPriority(const std::vector<PendingUpdate>& updates,
                                                                 std::size_t ejections) const {
  if (updates.empty() && ejections == 0) return std::nullopt;
  const auto canSend = [&](UpdatePriority priority, double routes) {
    for (const PendingUpdate& pending : updates)
      routes += pending.priority == priority ? static_cast<double>(pending.actions.size()) : 0;
    return routes > 0 && budget_.canSend(priority, routes, delivery_.needsRetry());
  };
  const UpdatePriority highestPriority = ejections > 0 ? UpdatePriority::Critical : updates.front().priority;
  if (canSend(highestPriority, static_cast<double>(ejections))) return highestPriority;
  if (canSend(UpdatePriority::RetryRestriction, 0)) return UpdatePriority::RetryRestriction;
  return std::nullopt;
}

bool UpdateScheduler::canRequestAcknowledgements() const {
  const bool areAcknowledgementsAwaited = budget_.routesInFlight() > 0 || settings_.hasSingleOwnerSlices();
  return areAcknowledgementsAwaited && budget_.canRequestAcknowledgements();
}

std::vector<Action> UpdateScheduler::fillUpdate(const std::vector<PendingUpdate>& updates, ServerMap& servers,
                                                SliceMap& slices) {
  std::vector<Action> update;
  const double maxRatios = std::max(kMaxRatioShare * budget_.capacityLeft(UpdatePriority::Admission),
                                    static_cast<double>(settings_.classes.size()));
  double ratios = 0;
  bool isFull = false;
  for (const PendingUpdate& pending : updates) {
    if (isFull && pending.priority != UpdatePriority::RetryRestriction) continue;
    const bool isRatio = pending.priority == UpdatePriority::Admission;
    ratios += isRatio ? static_cast<double>(pending.actions.size()) : 0;
    if (isRatio && ratios > maxRatios) continue;
    isFull = !append(pending.priority, pending.actions, update, servers, slices) || isFull;
  }
  // Plan the ejections again: the routes just added may give a table a routable server, so that its former
  // server can be ejected.
  for (const SetEjection& ejection : sources_.ejections.plan(servers, slices))
    append(UpdatePriority::Critical, {ejection}, update, servers, slices);
  return update;
}

bool UpdateScheduler::append(UpdatePriority priority, const std::vector<Action>& newActions,
                             std::vector<Action>& update, ServerMap& servers, SliceMap& slices) {
  const auto routes = static_cast<double>(update.size() + newActions.size());
  // The first part of an update is sent whatever its size if the channel is empty. Otherwise a part that is
  // larger than the channel would never be sent.
  const bool isLimited = !update.empty() || budget_.routesInFlight() > 0;
  if (isLimited && routes > budget_.capacityLeft(priority)) return false;
  for (const Action& action : newActions) publish(action, servers, slices);
  update.insert(update.end(), newActions.begin(), newActions.end());
  return true;
}

void UpdateScheduler::publish(const Action& action, ServerMap& servers, SliceMap& slices) {
  if (const auto* ejection = std::get_if<SetEjection>(&action))
    servers.at(ejection->server).ejection.publish(ejection->state, applied_.nextUpdate());
  if (const auto* route = std::get_if<SetRoute>(&action)) publish(*route, slices.at(route->table));
  if (const auto* clear = std::get_if<ClearTable>(&action)) publish(*clear, slices.at(clear->table));
  if (const auto* admission = std::get_if<SetAdmission>(&action)) publish(*admission, slices);
}

void UpdateScheduler::publish(const SetRoute& route, SliceState& slice) {
  slice.publish(route);
  const bool isOwnerRemoval = settings_.hasSingleOwnerSlices() && route.weight <= 0;
  if (isOwnerRemoval) handover_.beginHandover(slice, channel_.proxies(), channel_.nextUpdateId());
}

void UpdateScheduler::publish(const ClearTable& clear, SliceState& slice) {
  slice.publish(clear);
  handover_.beginClearedHandover(slice, channel_.proxies(), channel_.nextUpdateId());
}

void UpdateScheduler::publish(const SetAdmission& admission, SliceMap& slices) {
  if (admission.table != kAllTables) {
    slices.at(admission.table).publish(admission, applied_.nextUpdate());
    return;
  }
  admission_.publish(admission, applied_.nextUpdate());
}

}  // namespace peargrade::decision
