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

void Membership::applyTier(const Spot& spot, const View& view, bool told, Wish& wish) const {
  if (!wish.listed || tierNeeded(spot, view)) return;
  wish.listed = told;
  wish.rule = told ? Rule::TierLeaving : Rule::Standby;
  if (spot.tierOut) wish.entry.state = ServerState::Draining;
}

Membership::Wish Membership::rosterWish(const ServerId& uid, const Listed& listed, Micros now) const {
  Wish wish;
  wish.listed = true;
  wish.entry = listed.entry;
  wish.rule = Rule::RosterDraining;
  if (listed.entry.state != ServerState::Ready) return wish;
  wish.rule = Rule::Roster;
  const auto at = spots_.find(listed.endpoint);
  if (at != spots_.end()) {
    const Spot& spot = at->second;
    if (spot.goneAt != 0 && spot.goneByRecords && listed.entry.startedAt <= spot.goneAt) {
      wish.listed = false;
      wish.rule = Rule::RecordsGone;
      return wish;
    }
    if (drained(spot, listed.entry.startedAt)) {
      wish.entry.state = ServerState::Draining;
      wish.rule = Rule::RecordsDraining;
      return wish;
    }
  }
  const View* view = at == spots_.end() ? nullptr : best(at->second, now);
  if (view == nullptr) return wish;
  if (view->last.until <= now || view->confirmBy != 0) wish.rule = Rule::RosterExpired;
  if (settings_.rosterWeights) return wish;
  wish.entry.weight = weightOf(at->second, *view);
  applyTier(at->second, *view, told_.count(uid) != 0, wish);
  return wish;
}

bool Membership::drained(const Spot& spot, Micros startedAt) const {
  return spot.drainedAt != 0 && startedAt <= spot.drainedAt;
}

// By the lifetime of its record, and whether a second answer is waited for.
void Membership::applyLifetime(const Spot& spot, const View& view, Micros now, Wish& wish) const {
  const Micros staleAt = view.last.until + settings_.staleFor;
  if (view.confirmBy != 0) {
    wish.rule = now < view.confirmBy ? Rule::Confirm : Rule::Leaving;
    wish.until = now < view.confirmBy ? view.confirmBy : 0;
  } else if (now < view.last.until) {
    wish.rule = spot.goneAt != 0 ? Rule::TakenBack : Rule::Records;
    wish.until = view.last.until;
  } else {
    wish.rule = now < staleAt ? Rule::Stale : Rule::Leaving;
    wish.until = now < staleAt ? staleAt : 0;
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

Membership::Wish Membership::spotWish(const std::string& endpoint, const Spot& spot, Micros now) const {
  Wish wish;
  wish.entry.server = endpoint;
  wish.rule = Rule::Roster;
  if (!spot.uids.empty()) return wish;  // the roster tells of it under its own name
  const View* view = best(spot, now);
  const bool told = told_.count(endpoint) != 0;
  const bool gone = spot.goneAt != 0 && !spot.takenBack;
  wish.rule = !gone ? Rule::Removed : spot.goneByRecords ? Rule::RecordsGone : Rule::RosterGone;
  if (view == nullptr) return wish;
  const Micros again = spot.goneAt != 0 ? startedAgain(spot) : 0;
  if (gone && again == 0) return wish;
  wish.entry.startedAt = std::max(spot.startedAt, again);
  wish.entry.weight = weightOf(spot, *view);
  wish.entry.zone = view->last.zone;
  wish.entry.kind = view->last.kind;
  wish.entry.cell = view->last.cell;
  // Nothing is sent to a server that drains, and one that nobody was told of is not brought up for it.
  if (spot.drainedAt != 0) {
    wish.entry.state = ServerState::Draining;
    wish.rule = Rule::RecordsDraining;
    wish.listed = told;
    return wish;
  }
  applyLifetime(spot, *view, now, wish);
  wish.listed = true;
  if (told) {
    applyTier(spot, *view, true, wish);
    return wish;
  }
  // What is on its way out does not come in.
  if (wish.rule != Rule::Records && wish.rule != Rule::TakenBack) {
    wish.listed = false;
    return wish;
  }
  if (const auto hold = holdBack(spot, now)) {
    wish.listed = false;
    wish.rule = hold->first;
    wish.until = hold->second;
    return wish;
  }
  applyTier(spot, *view, false, wish);
  return wish;
}

}  // namespace peargrade::membership
