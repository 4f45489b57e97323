// From desired states to changes of the list: what is told, when a spot is looked at again, and who goes in
// which step.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

bool sameBut(const Endpoint& a, const Endpoint& b, double margin) {
  return a.startedAt == b.startedAt && a.cell == b.cell && a.zone == b.zone && a.kind == b.kind &&
         a.state == b.state && std::abs(a.weight - b.weight) <= margin * std::abs(a.weight);
}

}  // namespace

void Membership::wake(const std::string& endpoint, Spot& spot, Micros at) {
  if (at == 0 || (spot.wakeAt != 0 && spot.wakeAt <= at)) return;
  if (spot.wakeAt != 0) due_.erase({spot.wakeAt, endpoint});
  spot.wakeAt = at;
  due_.insert({at, endpoint});
}

void Membership::queue(const std::string& endpoint, Spot& spot, bool leave, Micros now) {
  if (leave == spot.leaving) return;
  spot.leaving = leave;
  if (leave) {
    leavingSince_[endpoint] = now;
    leaving_.insert({now, endpoint});
  } else {
    leaving_.erase({leavingSince_[endpoint], endpoint});
    leavingSince_.erase(endpoint);
  }
}

void Membership::publish(const ServerId& id, const Desired& desired, News& news) {
  const auto at = published_.find(id);
  if (!desired.listed) {
    if (at == published_.end()) return;
    Endpoint gone = at->second.entry;
    ready_ -= gone.state == EndpointState::Ready;
    gone.state = EndpointState::Removed;
    published_.erase(at);
    news.list.endpoints.push_back(gone);
    news.decisions.push_back({id, EndpointState::Removed, desired.rule});
    return;
  }
  const bool records = roster_.count(id) == 0;
  if (at != published_.end()) {
    at->second.rule = desired.rule;
    const bool own = records || !settings_.rosterWeights;
    if (sameBut(at->second.entry, desired.entry, own ? settings_.weightMargin : 0)) return;
    ready_ -= at->second.entry.state == EndpointState::Ready;
  }
  published_[id] = {desired.entry, desired.rule};
  ready_ += desired.entry.state == EndpointState::Ready;
  news.list.endpoints.push_back(desired.entry);
  news.decisions.push_back({id, desired.entry.state, desired.rule});
}

void Membership::reevaluateUid(const ServerId& uid, Micros now, News& news) {
  const auto at = roster_.find(uid);
  if (at == roster_.end()) {
    Desired gone;
    gone.rule = Rule::RosterGone;
    return publish(uid, gone, news);
  }
  const Desired desired = desiredByRoster(uid, at->second, now);
  publish(uid, desired, news);
}

// By its own desired state, or, where the roster runs it, by its tier or by the word of an authority that no
// second answer followed in time.
bool Membership::waitsForStep(const Spot& spot, const Desired& desired, Micros now) const {
  if (desired.rule == Rule::Leaving || (desired.rule == Rule::TierLeaving && !spot.tierOut)) return true;
  if (spot.uids.empty()) return false;
  const bool byTier = std::any_of(spot.uids.begin(), spot.uids.end(), [&](const ServerId& uid) {
    return desiredByRoster(uid, roster_.at(uid), now).rule == Rule::TierLeaving && !spot.tierOut;
  });
  return byTier || std::any_of(spot.views.begin(), spot.views.end(), [&](const View& v) {
           const bool authority = sources_[static_cast<std::size_t>(&v - spot.views.data())].authority;
           return authority && v.present && v.confirmBy != 0 && now >= v.confirmBy;
         });
}

void Membership::countReturn(Spot& spot, Micros now) const {
  spot.returns.erase(std::remove_if(spot.returns.begin(), spot.returns.end(),
                                    [&](Micros t) { return t <= now - settings_.flapSpan; }),
                     spot.returns.end());
  spot.returns.push_back(now);
}

void Membership::reevaluate(const std::string& endpoint, Micros now, News& news) {
  const auto at = spots_.find(endpoint);
  if (at == spots_.end()) return;
  Spot& spot = at->second;
  const View* view = best(spot, now);
  if (view != nullptr && tierNeeded(spot, *view)) spot.tierOut = false;
  for (const ServerId& uid : spot.uids) reevaluateUid(uid, now, news);
  Desired desired = desiredByRecords(endpoint, spot, now);
  const auto told = published_.find(endpoint);
  const bool was = told != published_.end();
  lastOnes_.erase(endpoint);
  held_.erase(endpoint);
  if (desired.rule == Rule::FlapHeld) held_.insert(endpoint);
  if (desired.listed && desired.rule == Rule::TakenBack) spot.takenBack = true;
  const bool byRecords = desired.rule == Rule::Removed || desired.rule == Rule::RecordsGone;
  if (was && !desired.listed && byRecords && told->second.entry.state == EndpointState::Ready &&
      ready_ <= settings_.keepLeast) {
    desired.listed = true;
    desired.entry = told->second.entry;
    desired.rule = Rule::KeepLeast;
    lastOnes_.insert(endpoint);
  }
  queue(endpoint, spot, waitsForStep(spot, desired, now), now);
  if (!was && desired.listed && spot.absentAsOf != 0) countReturn(spot, now);
  publish(endpoint, desired, news);
  wake(endpoint, spot, desired.until);
  for (const View& v : spot.views) {
    if (v.present && v.confirmBy > now) wake(endpoint, spot, v.confirmBy);
  }
  if (view != nullptr && view->last.until > now) wake(endpoint, spot, view->last.until);
  if (view != nullptr || !spot.uids.empty() || published_.count(endpoint) != 0) return;
  // Absent: remembered as long as its coming and going is counted.
  if (spot.forgetAt == 0) spot.forgetAt = now + std::max(settings_.flapSpan, settings_.flapHold);
  if (now < spot.forgetAt) return wake(endpoint, spot, spot.forgetAt);
  if (spot.wakeAt != 0) due_.erase({spot.wakeAt, endpoint});
  spots_.erase(at);
}

// At most a share of the pool goes at a time.
void Membership::step(Micros now, News& news) {
  if (leaving_.empty() || now < nextStep_) return;
  nextStep_ = now + settings_.stepEvery;
  auto left = static_cast<std::size_t>(std::max(1.0, settings_.stepShare * static_cast<double>(ready_)));
  std::vector<std::string> going;
  for (const auto& [since, endpoint] : leaving_) {
    if (going.size() == left) break;
    going.push_back(endpoint);
  }
  for (const std::string& endpoint : going) {
    Spot& spot = spots_.at(endpoint);
    const View* view = best(spot, now);
    const bool tier = view != nullptr && !tierNeeded(spot, *view);
    // One of the last waits for others.
    if ((tier || !spot.uids.empty()) && ready_ <= settings_.keepLeast) continue;
    queue(endpoint, spot, false, now);
    if (tier) {
      spot.tierOut = true;
    } else {
      for (View& v : spot.views) {
        if (v.present && overdue(v, now)) takeOut(endpoint, spot, v, now);
      }
    }
    reevaluate(endpoint, now, news);
  }
}

}  // namespace peargrade::membership
