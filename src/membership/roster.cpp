// What the roster lists, drains and takes out.
#include "membership/membership.h"

namespace peargrade::membership {

// The spot of a server of the roster; where its address changes, the old spot is no longer its own.
void Membership::moveSpot(const ServerId& uid, Listed& listed, const std::string& endpoint) {
  if (listed.endpoint == endpoint && !endpoint.empty() && spots_.count(endpoint) != 0 &&
      spots_[endpoint].uids.count(uid) != 0)
    return;
  const auto old = spots_.find(listed.endpoint);
  if (!listed.endpoint.empty() && old != spots_.end()) {
    old->second.uids.erase(uid);
    markDirty(listed.endpoint);
  }
  listed.endpoint = endpoint;
  if (endpoint.empty()) return;
  Spot& spot = spots_[endpoint];
  spot.views.resize(sources_.size());
  spot.uids.insert(uid);
  markDirty(endpoint);
}

// Gone by the roster: records that were there before do not bring it back.
void Membership::unlist(const ServerId& uid, Micros now) {
  const auto at = roster_.find(uid);
  if (at == roster_.end()) return;
  const auto spot = spots_.find(at->second.endpoint);
  if (spot != spots_.end()) {
    spot->second.uids.erase(uid);
    if (spot->second.uids.empty()) {
      spot->second.goneAt = now;
      spot->second.goneByRecords = false;
      spot->second.takenBack = false;
    }
    markDirty(spot->first);
  }
  roster_.erase(at);
  dirtyUids_.insert(uid);
}

// A whole list says that what it leaves out is gone.
void Membership::unlistMissing(const std::vector<RosterEntry>& entries, Micros now) {
  std::set<ServerId> there;
  for (const RosterEntry& e : entries) there.insert(e.entry.server);
  std::vector<ServerId> gone;
  for (const auto& [uid, listed] : roster_) {
    if (there.count(uid) == 0) gone.push_back(uid);
  }
  for (const ServerId& uid : gone) unlist(uid, now);
}

void Membership::list(const RosterEntry& e) {
  const bool held = roster_.count(e.entry.server) != 0;
  if (!held && roster_.size() >= settings_.serversMost) {
    ++overfull_;
    return;
  }
  Listed& listed = roster_[e.entry.server];
  listed.entry = e.entry;
  moveSpot(e.entry.server, listed, e.endpoint);
  if (!e.endpoint.empty() && e.entry.state == EndpointState::Ready) {
    Spot& spot = spots_[e.endpoint];
    // Its own word the roster may take back; another authority's only with a new start.
    if (!spot.goneByRecords || e.entry.startedAt > spot.goneAt) spot.goneAt = 0;
  }
  dirtyUids_.insert(e.entry.server);
  if (!e.endpoint.empty()) markDirty(e.endpoint);
}

void Membership::roster(EndpointListKind mode, const std::vector<RosterEntry>& entries, Micros now) {
  if (!withRoster_ || mode == EndpointListKind::Failed || mode == EndpointListKind::Cached) return;
  heard_ = true;
  if (mode == EndpointListKind::Full) {
    whole_ = true;
    unlistMissing(entries, now);
  }
  for (const RosterEntry& e : entries) {
    if (e.entry.state == EndpointState::Removed) {
      unlist(e.entry.server, now);
      continue;
    }
    list(e);
  }
  if (rosterSpoke_) return;
  rosterSpoke_ = true;  // what waited for it may come
  for (const auto& [endpoint, spot] : spots_) markDirty(endpoint);
}

}  // namespace peargrade::membership
