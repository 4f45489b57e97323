#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace peargrade::membership {

Membership::Membership(const Settings& settings, std::vector<bool> authority, bool roster,
                       const std::vector<RosterEntry>& known, Micros now)
    : settings_(settings), withRoster_(roster), start_(now), sources_(authority.size()) {
  for (std::size_t k = 0; k < authority.size(); ++k) sources_[k].authority = authority[k];
  for (const RosterEntry& k : known) {
    if (!k.endpoint.empty()) knownStart_[k.endpoint] = k.entry.startedAt;
    if (!withRoster_ || k.entry.state == EndpointState::Removed) continue;
    Listed& listed = roster_[k.entry.server];
    listed.entry = k.entry;
    moveSpot(k.entry.server, listed, k.endpoint);
    published_[k.entry.server] = {k.entry, Rule::Roster};
    ready_ += k.entry.state == EndpointState::Ready;
  }
}

std::optional<News> Membership::settle(Micros now) {
  News news;
  while (!due_.empty() && due_.begin()->first <= now) {
    const std::string endpoint = due_.begin()->second;
    due_.erase(due_.begin());
    const auto at = spots_.find(endpoint);
    if (at != spots_.end()) at->second.wakeAt = 0;
    markDirty(endpoint);
  }
  dirty_.insert(lastOnes_.begin(), lastOnes_.end());
  if (!dirty_.empty() || !dirtyUids_.empty()) retier(now);
  for (const ServerId& uid : std::exchange(dirtyUids_, {})) reevaluateUid(uid, now, news);
  const std::set<std::string> spots = std::exchange(dirty_, {});
  // Who comes before who goes: the last ones are judged when all who are there are known.
  std::vector<std::string> out;
  for (const std::string& endpoint : spots) {
    const auto at = spots_.find(endpoint);
    if (at == spots_.end()) continue;
    if (published_.count(endpoint) != 0 && !desiredByRecords(endpoint, at->second, now).listed)
      out.push_back(endpoint);
    else
      reevaluate(endpoint, now, news);
  }
  for (const std::string& endpoint : out) reevaluate(endpoint, now, news);
  step(now, news);
  if (ready_ < settings_.keepLeast) {
    for (const std::string& endpoint : std::set<std::string>(held_)) reevaluate(endpoint, now, news);
  }
  dirty_.clear();
  const bool spoken =
      rosterSpoke_ || std::any_of(sources_.begin(), sources_.end(), [](const Source& s) { return s.spoken; });
  if (news.decisions.empty() && !heard_ && !(whole_ && spoken)) return std::nullopt;
  if (whole_) {
    news.list.kind = EndpointListKind::Full;
    news.list.endpoints.clear();
    for (const auto& [id, told] : published_) news.list.endpoints.push_back(told.entry);
  } else {
    news.list.kind = EndpointListKind::Delta;
  }
  news.list.version = ++version_;
  whole_ = heard_ = false;
  return news;
}

std::optional<Micros> Membership::due() const {
  std::optional<Micros> at;
  if (!due_.empty()) at = due_.begin()->first;
  if (!leaving_.empty()) at = at ? std::min(*at, nextStep_) : nextStep_;
  return at;
}

bool Membership::confirming() const {
  return std::any_of(spots_.begin(), spots_.end(), [](const auto& spot) {
    return std::any_of(spot.second.views.begin(), spot.second.views.end(),
                       [](const View& v) { return v.present && v.confirmBy != 0; });
  });
}

}  // namespace peargrade::membership
