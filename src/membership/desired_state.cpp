// How a server should stand in the list, by all that is known of it: a function of the state, without effect
// on it.
#include <algorithm>
#include <tuple>
#include <utility>

#include "membership/membership.h"

namespace peargrade::membership {

const Membership::View* Membership::best(const Spot& spot, Micros now) const {
  const View* found = nullptr;
  const auto rank = [&](const View& v) {
    return std::tuple(v.confirmBy != 0 || v.last.until <= now, v.last.tier, -v.last.weight, -v.last.until);
  };
  for (const View& v : spot.views) {
    if (v.present && (found == nullptr || rank(v) < rank(*found))) found = &v;
  }
  return found;
}

void Membership::applyTier(const Spot& spot, const View& view, bool told, Desired& desired) const {
  if (!desired.listed || tierNeeded(spot, view)) return;
  desired.listed = told;
  desired.rule = told ? Rule::TierLeaving : Rule::Standby;
  if (spot.tierOut) desired.entry.state = EndpointState::Draining;
}

Membership::Desired Membership::desiredByRoster(const ServerId& uid, const Listed& listed, Micros now) const {
  Desired desired;
  desired.listed = true;
  desired.entry = listed.entry;
  desired.rule = Rule::RosterDraining;
  if (listed.entry.state != EndpointState::Ready) return desired;
  desired.rule = Rule::Roster;
  const auto at = spots_.find(listed.endpoint);
  if (at != spots_.end()) {
    const Spot& spot = at->second;
    if (spot.goneAt != 0 && spot.goneByRecords && listed.entry.startedAt <= spot.goneAt) {
      desired.listed = false;
      desired.rule = Rule::RecordsGone;
      return desired;
    }
    if (drained(spot, listed.entry.startedAt)) {
      desired.entry.state = EndpointState::Draining;
      desired.rule = Rule::RecordsDraining;
      return desired;
    }
  }
  const View* view = at == spots_.end() ? nullptr : best(at->second, now);
  if (view == nullptr) return desired;
  if (view->last.until <= now || view->confirmBy != 0) desired.rule = Rule::RosterExpired;
  if (settings_.rosterWeights) return desired;
  desired.entry.weight = weightOf(at->second, *view);
  applyTier(at->second, *view, published_.count(uid) != 0, desired);
  return desired;
}

bool Membership::drained(const Spot& spot, Micros startedAt) const {
  return spot.drainedAt != 0 && startedAt <= spot.drainedAt;
}

// By the lifetime of its record, and whether a second answer is waited for.
void Membership::applyLifetime(const Spot& spot, const View& view, Micros now, Desired& desired) const {
  const Micros staleAt = view.last.until + settings_.staleFor;
  if (view.confirmBy != 0) {
    desired.rule = now < view.confirmBy ? Rule::Confirm : Rule::Leaving;
    desired.until = now < view.confirmBy ? view.confirmBy : 0;
  } else if (now < view.last.until) {
    desired.rule = spot.goneAt != 0 ? Rule::TakenBack : Rule::Records;
    desired.until = view.last.until;
  } else {
    desired.rule = now < staleAt ? Rule::Stale : Rule::Leaving;
    desired.until = now < staleAt ? staleAt : 0;
  }
}

// Why one that was not told is not brought in yet, and until when.
std::optional<std::pair<Rule, Micros>> Membership::holdBack(const Spot& spot, Micros now) const {
  if (withRoster_ && !rosterSpoke_ && now < start_ + settings_.rosterFirst)
    return std::pair(Rule::RosterAwaited, start_ + settings_.rosterFirst);
  const auto lately = std::count_if(spot.returns.begin(), spot.returns.end(),
                                    [&](Micros at) { return at > now - settings_.flapSpan; });
  // Never at the price of having nobody.
  if (lately >= settings_.flapTurns && ready_ >= settings_.keepLeast &&
      now < spot.returns.back() + settings_.flapHold)
    return std::pair(Rule::FlapHeld, spot.returns.back() + settings_.flapHold);
  return std::nullopt;
}

Membership::Desired Membership::desiredByRecords(const std::string& endpoint, const Spot& spot,
                                                 Micros now) const {
  Desired desired;
  desired.entry.server = endpoint;
  desired.rule = Rule::Roster;
  if (!spot.uids.empty()) return desired;  // the roster tells of it under its own name
  const View* view = best(spot, now);
  const bool told = published_.count(endpoint) != 0;
  const bool gone = spot.goneAt != 0 && !spot.takenBack;
  desired.rule = !gone ? Rule::Removed : spot.goneByRecords ? Rule::RecordsGone : Rule::RosterGone;
  if (view == nullptr) return desired;
  const Micros again = spot.goneAt != 0 ? startedAgain(spot) : 0;
  if (gone && again == 0) return desired;
  desired.entry.startedAt = std::max(spot.startedAt, again);
  desired.entry.weight = weightOf(spot, *view);
  desired.entry.zone = view->last.zone;
  desired.entry.kind = view->last.kind;
  desired.entry.cell = view->last.cell;
  // Nothing is sent to a server that drains, and one that nobody was told of is not brought up for it.
  if (spot.drainedAt != 0) {
    desired.entry.state = EndpointState::Draining;
    desired.rule = Rule::RecordsDraining;
    desired.listed = told;
    return desired;
  }
  applyLifetime(spot, *view, now, desired);
  desired.listed = true;
  if (told) {
    applyTier(spot, *view, true, desired);
    return desired;
  }
  // What is on its way out does not come in.
  if (desired.rule != Rule::Records && desired.rule != Rule::TakenBack) {
    desired.listed = false;
    return desired;
  }
  if (const auto hold = holdBack(spot, now)) {
    desired.listed = false;
    desired.rule = hold->first;
    desired.until = hold->second;
    return desired;
  }
  applyTier(spot, *view, false, desired);
  return desired;
}

}  // namespace peargrade::membership
