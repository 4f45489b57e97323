#include "membership/listing_rules.h"

#include <algorithm>
#include <tuple>

namespace peargrade::membership {
namespace {

Rule ruleWithoutRecords(const Removal& removal) {
  if (!removal.isInForce()) return Rule::Removed;
  return removal.by == Removal::By::Records ? Rule::RecordsGone : Rule::RosterGone;
}

}  // namespace

DesiredState ListingRules::desiredByRoster(const ServerId& server, const RosterEntry& entry,
                                           Micros now) const {
  DesiredState desired;
  desired.listed = true;
  desired.endpoint = entry.endpoint;
  desired.rule = Rule::RosterDraining;
  if (entry.endpoint.state != EndpointState::Ready) return desired;
  desired.rule = Rule::Roster;
  const auto found = known_.addresses.find(entry.address);
  if (found == known_.addresses.end()) return desired;
  const AddressState& state = found->second;
  const Micros startedAt = entry.endpoint.startedAt;
  if (state.removal.by == Removal::By::Records && startedAt <= state.removal.at) {
    desired.listed = false;
    desired.rule = Rule::RecordsGone;
    return desired;
  }
  if (state.drainAppliesTo(startedAt)) {
    desired.endpoint.state = EndpointState::Draining;
    desired.rule = Rule::RecordsDraining;
    return desired;
  }
  const RecordView* const view = bestView(state, now);
  if (view == nullptr) return desired;
  if (view->hasExpired(now) || view->isUnconfirmed()) desired.rule = Rule::RosterExpired;
  if (settings_.weightSource == WeightSource::Roster) return desired;
  desired.endpoint.weight = relativeWeight(*view);
  applyTier(state, *view, published_.contains(server), desired);
  return desired;
}

DesiredState ListingRules::desiredByRecords(const std::string& address, const AddressState& state,
                                            Micros now) const {
  DesiredState desired;
  desired.endpoint.server = address;
  desired.rule = Rule::Roster;
  if (!state.rosterServers.empty()) return desired;  // listed under its roster ID
  desired.rule = ruleWithoutRecords(state.removal);
  const RecordView* const view = bestView(state, now);
  if (view == nullptr) return desired;
  const Micros restartedAt = state.removal.happened() ? state.restartedAt() : 0;
  if (state.removal.isInForce() && restartedAt == 0) return desired;
  desired.endpoint.startedAt = std::max(state.startedAt, restartedAt);
  desired.endpoint.weight = relativeWeight(*view);
  desired.endpoint.zone = view->record.zone;
  desired.endpoint.kind = view->record.kind;
  desired.endpoint.cell = view->record.cell;
  const bool published = published_.contains(address);
  if (state.drainedAt != 0) {
    desired.endpoint.state = EndpointState::Draining;
    desired.rule = Rule::RecordsDraining;
    desired.listed = published;  // a draining server accepts no new load, so it is not added
    return desired;
  }
  applyLifetime(state, *view, now, desired);
  desired.listed = true;
  if (published) {
    applyTier(state, *view, published, desired);
    return desired;
  }
  // A server that is about to leave is not added.
  if (desired.rule != Rule::Records && desired.rule != Rule::TakenBack) {
    desired.listed = false;
    return desired;
  }
  if (const auto hold = findHold(state, now)) {
    desired.listed = false;
    desired.rule = hold->rule;
    desired.until = hold->until;
    return desired;
  }
  applyTier(state, *view, published, desired);
  return desired;
}

const RecordView* ListingRules::bestView(const AddressState& state, Micros now) const {
  const auto rank = [now](const RecordView& view) {
    const bool expiredOrUnconfirmed = view.isUnconfirmed() || view.hasExpired(now);
    return std::tuple(expiredOrUnconfirmed, view.record.priority, -view.record.weight,
                      -view.record.expiresAt);
  };
  const RecordView* best = nullptr;
  for (const RecordView& view : state.views) {
    if (view.isPresent() && (best == nullptr || rank(view) < rank(*best))) best = &view;
  }
  return best;
}

bool ListingRules::isTierInUse(const RecordView& view) const {
  return known_.sources[view.source].tiers.isInUse(view.record.priority);
}

bool ListingRules::isUsable(const AddressState& state) const {
  const Removal& removal = state.removal;
  if (state.drainedAt != 0) return false;
  if (removal.by == Removal::By::Records && state.restartedAt() == 0) return false;
  if (state.rosterServers.empty()) return !removal.isInForce() || state.restartedAt() != 0;
  return std::any_of(state.rosterServers.begin(), state.rosterServers.end(), [&](const ServerId& server) {
    const auto found = known_.roster.find(server);
    return found != known_.roster.end() && found->second.endpoint.state == EndpointState::Ready;
  });
}

bool ListingRules::isOverdue(const RecordView& view, Micros now) const {
  if (view.isUnconfirmed()) return now >= view.confirmationDeadline;
  return now >= view.record.expiresAt + settings_.staleRetention;
}

bool ListingRules::awaitsRemovalStep(const AddressState& state, const DesiredState& desired,
                                     Micros now) const {
  const auto leavesByTier = [&](Rule rule) { return rule == Rule::TierLeaving && !state.drainedByTier; };
  if (desired.rule == Rule::Leaving || leavesByTier(desired.rule)) return true;
  if (state.rosterServers.empty()) return false;
  const bool rosterServerLeaves =
      std::any_of(state.rosterServers.begin(), state.rosterServers.end(), [&](const ServerId& server) {
        return leavesByTier(desiredByRoster(server, known_.roster.at(server), now).rule);
      });
  if (rosterServerLeaves) return true;
  // A source with authority left it out, and no second response arrived before the deadline.
  return std::any_of(state.views.begin(), state.views.end(), [&](const RecordView& view) {
    return known_.sources[view.source].authority && view.isUnconfirmed() && isOverdue(view, now);
  });
}

void ListingRules::applyTier(const AddressState& state, const RecordView& view, bool published,
                             DesiredState& desired) const {
  if (!desired.listed || isTierInUse(view)) return;
  desired.listed = published;
  desired.rule = published ? Rule::TierLeaving : Rule::Standby;
  if (state.drainedByTier) desired.endpoint.state = EndpointState::Draining;
}

// Sets the rule and its end from the record's expiry and from whether a second response is awaited.
void ListingRules::applyLifetime(const AddressState& state, const RecordView& view, Micros now,
                                 DesiredState& desired) const {
  if (isOverdue(view, now)) {
    desired.rule = Rule::Leaving;
  } else if (view.isUnconfirmed()) {
    desired.rule = Rule::Confirm;
    desired.until = view.confirmationDeadline;
  } else if (view.hasExpired(now)) {
    desired.rule = Rule::Stale;
    desired.until = view.record.expiresAt + settings_.staleRetention;
  } else {
    desired.rule = state.removal.happened() ? Rule::TakenBack : Rule::Records;
    desired.until = view.record.expiresAt;
  }
}

// Returns why a server that is not published must not be added yet, and until when; nullopt if it may be
// added.
std::optional<ListingRules::Hold> ListingRules::findHold(const AddressState& state, Micros now) const {
  const Micros rosterDeadline = known_.startedAt + settings_.rosterStartupTimeout;
  if (known_.rosterStatus == RosterStatus::Awaited && now < rosterDeadline)
    return Hold{Rule::RosterAwaited, rosterDeadline};
  const auto recentReturns = std::count_if(state.returnTimes.begin(), state.returnTimes.end(),
                                           [&](Micros at) { return at > now - settings_.flapWindow; });
  if (recentReturns < settings_.flapReturnsMax) return std::nullopt;
  if (published_.readyCount() < settings_.minimumReady) return std::nullopt;
  const Micros heldUntil = state.returnTimes.back() + settings_.flapHoldTime;
  if (now >= heldUntil) return std::nullopt;
  return Hold{Rule::FlapHeld, heldUntil};
}

double ListingRules::relativeWeight(const RecordView& view) const {
  return known_.sources[view.source].tiers.relativeWeight(view.record);
}

}  // namespace peargrade::membership
