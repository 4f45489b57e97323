// Membership: computes desired states and publishes the resulting changes of the list.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

bool isEquivalent(const Endpoint& a, const Endpoint& b, double weightTolerance) {
  return a.startedAt == b.startedAt && a.cell == b.cell && a.zone == b.zone && a.kind == b.kind &&
         a.state == b.state && std::abs(a.weight - b.weight) <= weightTolerance * std::abs(a.weight);
}

}  // namespace

void Membership::evaluateChanged(Micros now, MembershipUpdate& update) {
  const EvaluationSchedule::Due due = schedule_.takeDue(now);
  for (const std::string& address : due.addresses) {
    const auto found = known_.addresses.find(address);
    if (found != known_.addresses.end()) found->second.evaluateAt = 0;
    markChanged(address);
  }
  changedAddresses_.insert(lastReady_.begin(), lastReady_.end());
  if (due.tiers || !changedAddresses_.empty() || !changedRosterServers_.empty()) updateTiers(now);
  for (const ServerId& server : std::exchange(changedRosterServers_, {}))
    evaluateRosterServer(server, now, update);
  // Additions come first, because whether a removed server is one of the last ready ones depends on them.
  std::vector<std::string> removals;
  for (const std::string& address : std::exchange(changedAddresses_, {})) {
    const auto found = known_.addresses.find(address);
    if (found == known_.addresses.end()) continue;
    if (published_.contains(address) && !rules_.desiredByRecords(address, found->second, now).listed)
      removals.push_back(address);
    else
      evaluateAddress(address, now, update);
  }
  for (const std::string& address : removals) evaluateAddress(address, now, update);
}

void Membership::evaluateAddress(const std::string& address, Micros now, MembershipUpdate& update) {
  const auto found = known_.addresses.find(address);
  if (found == known_.addresses.end()) return;
  AddressState& state = found->second;
  const RecordView* const view = rules_.bestView(state, now);
  if (view != nullptr && rules_.isTierInUse(*view)) state.drainedByTier = false;
  for (const ServerId& server : state.rosterServers) evaluateRosterServer(server, now, update);
  DesiredState desired = rules_.desiredByRecords(address, state, now);
  const bool wasListed = published_.contains(address);
  if (desired.rule == Rule::FlapHeld)
    flapHeld_.insert(address);
  else
    flapHeld_.erase(address);
  if (desired.listed && desired.rule == Rule::TakenBack) state.removal.restarted = true;
  keepLastReady(address, desired);
  if (rules_.awaitsRemovalStep(state, desired, now))
    departures_.add(address, now);
  else
    departures_.remove(address);
  if (!wasListed && desired.listed && state.absentSince != 0) recordReturn(state, now);
  publish(address, desired, update);
  scheduleEvaluations(address, state, desired, view, now);
  forgetIfAbsent(address, state, view, now);
}

void Membership::evaluateRosterServer(const ServerId& server, Micros now, MembershipUpdate& update) {
  const auto found = known_.roster.find(server);
  if (found == known_.roster.end()) return withdraw(server, Rule::RosterGone, update);
  publish(server, rules_.desiredByRoster(server, found->second, now), update);
}

// Keeps a server listed that records would remove while it is one of the last ready servers.
void Membership::keepLastReady(const std::string& address, DesiredState& desired) {
  lastReady_.erase(address);
  const bool removedByRecords = desired.rule == Rule::Removed || desired.rule == Rule::RecordsGone;
  if (desired.listed || !removedByRecords || !published_.isReady(address)) return;
  if (published_.readyCount() > settings_.minimumReady) return;
  desired.listed = true;
  desired.endpoint = published_.find(address)->endpoint;
  desired.rule = Rule::KeepLeast;
  lastReady_.insert(address);
}

void Membership::recordReturn(AddressState& state, Micros now) const {
  const Micros windowStart = now - settings_.flapWindow;
  const auto isOutsideWindow = [windowStart](Micros at) { return at <= windowStart; };
  state.returnTimes.erase(std::remove_if(state.returnTimes.begin(), state.returnTimes.end(), isOutsideWindow),
                          state.returnTimes.end());
  state.returnTimes.push_back(now);
}

void Membership::scheduleEvaluations(const std::string& address, AddressState& state,
                                     const DesiredState& desired, const RecordView* view, Micros now) {
  schedule_.schedule(address, state.evaluateAt, desired.until);
  for (const RecordView& source : state.views) {
    if (source.isUnconfirmed() && source.confirmationDeadline > now)
      schedule_.schedule(address, state.evaluateAt, source.confirmationDeadline);
  }
  if (view != nullptr && !view->hasExpired(now))
    schedule_.schedule(address, state.evaluateAt, view->record.expiresAt);
}

// Keeps the state of an absent address while its returns count for flap damping, then deletes it. `state` is
// invalid after that.
void Membership::forgetIfAbsent(const std::string& address, AddressState& state, const RecordView* view,
                                Micros now) {
  if (view != nullptr || !state.rosterServers.empty() || published_.contains(address)) return;
  if (state.forgetAt == 0) state.forgetAt = now + std::max(settings_.flapWindow, settings_.flapHoldTime);
  if (now < state.forgetAt) return schedule_.schedule(address, state.evaluateAt, state.forgetAt);
  schedule_.cancel(address, state.evaluateAt);
  known_.addresses.erase(address);
}

void Membership::publish(const ServerId& server, const DesiredState& desired, MembershipUpdate& update) {
  if (!desired.listed) return withdraw(server, desired.rule, update);
  const PublishedList::Entry* const current = published_.find(server);
  const bool usesRosterWeight =
      known_.roster.count(server) != 0 && settings_.weightSource == WeightSource::Roster;
  const double tolerance = usesRosterWeight ? 0 : settings_.weightTolerance;
  if (current != nullptr && isEquivalent(current->endpoint, desired.endpoint, tolerance))
    return published_.setRule(server, desired.rule);
  published_.set(desired.endpoint, desired.rule);
  update.list.endpoints.push_back(desired.endpoint);
  update.decisions.push_back({server, desired.endpoint.state, desired.rule});
}

void Membership::withdraw(const ServerId& server, Rule rule, MembershipUpdate& update) {
  const PublishedList::Entry* const current = published_.find(server);
  if (current == nullptr) return;
  Endpoint removed = current->endpoint;
  removed.state = EndpointState::Removed;
  published_.remove(server);
  update.list.endpoints.push_back(removed);
  update.decisions.push_back({server, EndpointState::Removed, rule});
}

void Membership::runRemovalStep(Micros now, MembershipUpdate& update) {
  const std::optional<Micros> step = departures_.nextStep();
  if (!step || now < *step) return;
  const double share = settings_.removalStepShare * static_cast<double>(published_.readyCount());
  const auto count = static_cast<std::size_t>(std::max(1.0, share));
  for (const std::string& address : departures_.beginStep(count, now, settings_.removalStepInterval))
    beginDeparture(address, now, update);
}

// Drains the address if its tier is no longer used, otherwise removes its overdue records.
void Membership::beginDeparture(const std::string& address, Micros now, MembershipUpdate& update) {
  AddressState& state = known_.addresses.at(address);
  const RecordView* const best = rules_.bestView(state, now);
  const bool byTier = best != nullptr && !rules_.isTierInUse(*best);
  // One of the last ready servers stays until others are ready.
  const bool isLast = published_.readyCount() <= settings_.minimumReady;
  if (isLast && (byTier || !state.rosterServers.empty())) return;
  departures_.remove(address);
  if (byTier) {
    state.drainedByTier = true;
  } else {
    for (RecordView& view : state.views) {
      if (view.isPresent() && rules_.isOverdue(view, now)) removeRecord(address, state, view, now);
    }
  }
  evaluateAddress(address, now, update);
}

}  // namespace peargrade::membership
