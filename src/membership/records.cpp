// What records list and leave out: sightings on spots, lifetimes, second answers.
#include <algorithm>
#include <tuple>
#include <utility>

#include "membership/membership.h"

namespace peargrade::membership {

bool Membership::anyPresent(const Spot& spot) const {
  return std::any_of(spot.views.begin(), spot.views.end(), [](const View& v) { return v.present; });
}

// The spot at this address, made if there is none; null where no more servers are held.
Membership::Spot* Membership::spotAt(const std::string& endpoint) {
  const auto at = spots_.find(endpoint);
  if (at != spots_.end()) return &at->second;
  if (spots_.size() >= settings_.serversMost) return nullptr;
  Spot& spot = spots_[endpoint];
  spot.views.resize(sources_.size());
  return &spot;
}

// Its start, as far as records show it: the first sighting after it was absent. An answer from the same
// moment as the one that took it out shows no new start.
void Membership::noteStart(Spot& spot, const Sighting& s, Micros asOf, bool warm) const {
  if (asOf <= spot.absentAsOf && spot.absentAsOf != 0) return;
  if (anyPresent(spot)) {
    spot.startedAt = std::min(spot.startedAt, asOf);
    return;
  }
  const auto known = knownStart_.find(s.endpoint);
  spot.startedAt = known != knownStart_.end() ? known->second
                   : s.startedAt > 0          ? s.startedAt
                   : warm                     ? 0
                                              : asOf;
}

// Whether a sighting is news of the spot.
bool Membership::changes(const Spot& spot, const View& view, const Sighting& s, Micros asOf) {
  return !view.present || view.last.until <= asOf || view.confirmBy != 0 || spot.leaving ||
         view.last.tier != s.tier || view.last.weight != s.weight || view.last.zone != s.zone ||
         view.last.kind != s.kind || view.last.cell != s.cell;
}

void Membership::update(View& view, const Source& from, const Sighting& s, Micros asOf) {
  if (!view.present) {
    if (view.seenAt == 0 || asOf > view.goneAsOf) {
      view.appearedAt = asOf;
      view.absentAt = from.lastComplete < asOf ? from.lastComplete : from.previousComplete;
    }
    view.last = s;
  } else if (asOf == view.seenAt) {
    // Two answers from the same moment: the better of both, whichever came first.
    view.last.until = std::max(view.last.until, s.until);
    if (std::tuple(s.tier, -s.weight) < std::tuple(view.last.tier, -view.last.weight)) {
      view.last.tier = s.tier;
      view.last.weight = s.weight;
    }
  } else if (asOf > view.seenAt) {
    const Micros until = std::max(view.last.until, s.until);
    view.last = s;
    view.last.until = until;
  }
  view.present = true;
}

// What a source with authority says beyond the address: a start, the end of a drain, that it is back.
void Membership::applyAuthority(Spot& spot, const View& view, const Sighting& s) {
  if (s.startedAt > 0 && s.startedAt != spot.startedAt) {
    spot.startedAt = s.startedAt;
    markDirty(s.endpoint);
  }
  // A drain ends with a new start only: said, or seen as a going and a coming.
  const bool again = s.startedAt > spot.drainedAt || view.absentAt > spot.drainedAt;
  if (spot.drainedAt != 0 && s.state == EndpointState::Ready && again) {
    spot.drainedAt = 0;
    markDirty(s.endpoint);
  }
  // What it took out itself it may put back: cold, as it was absent.
  if (spot.goneAt != 0 && spot.goneByRecords && view.appearedAt > spot.goneAt) {
    spot.goneAt = 0;
    markDirty(s.endpoint);
  }
}

// False where no more servers are held.
bool Membership::applySighting(std::size_t source, const Sighting& s, Micros asOf, bool warm) {
  Spot* const at = spotAt(s.endpoint);
  if (at == nullptr) return false;
  Spot& spot = *at;
  View& view = spot.views[source];
  const bool authority = sources_[source].authority;
  // Said anew, it is a drain of the server as it is now; said on and on, it is the one of then.
  const bool anewDrained = !view.present || view.goneAsOf != 0 || view.last.state != EndpointState::Draining;
  if (authority && s.state == EndpointState::Draining && (spot.drainedAt == 0 || anewDrained)) {
    spot.drainedAt = asOf;
    markDirty(s.endpoint);
  }
  noteStart(spot, s, asOf, warm);
  const bool changed = changes(spot, view, s, asOf);
  update(view, sources_[source], s, asOf);
  if (authority) applyAuthority(spot, view, s);
  view.seenAt = std::max(view.seenAt, asOf);
  view.confirmBy = 0;
  view.goneAsOf = 0;
  spot.forgetAt = 0;
  if (changed) markDirty(s.endpoint);
  return true;
}

// Its time is over: past the stale bound, or left out and no second answer came.
bool Membership::overdue(const View& view, Micros now) const {
  return view.confirmBy != 0 ? now >= view.confirmBy : now >= view.last.until + settings_.staleFor;
}

void Membership::takeOut(const std::string& endpoint, Spot& spot, View& view, Micros asOf) {
  view.present = false;
  view.confirmBy = 0;
  view.goneAsOf = asOf;
  if (sources_[static_cast<std::size_t>(&view - spot.views.data())].authority) {
    spot.goneAt = asOf;
    spot.goneByRecords = true;
    spot.takenBack = false;
  }
  if (!anyPresent(spot)) {
    spot.absentAsOf = std::max(spot.absentAsOf, asOf);
    knownStart_.erase(endpoint);
  }
  markDirty(endpoint);
}

// What a complete answer does not list. If that would take much of the pool at once, it waits for a second
// answer.
void Membership::leaveOut(const Observation& o, Micros now) {
  std::set<std::string> seen;
  for (const Sighting& s : o.seen) seen.insert(s.endpoint);
  std::vector<std::string> first;
  for (auto& [endpoint, spot] : spots_) {
    View& view = spot.views[o.source];
    // Seen by an answer from the same moment: it is not left out.
    if (!view.present || seen.count(endpoint) != 0 || view.seenAt >= o.asOf) continue;
    if (o.unsure.count(view.last.name) != 0) continue;
    const bool alone = std::none_of(spot.views.begin(), spot.views.end(),
                                    [&](const View& v) { return &v != &view && v.present; });
    const auto isReady = [&](const ServerId& id) {
      const auto told = published_.find(id);
      return told != published_.end() && told->second.entry.state == EndpointState::Ready;
    };
    const bool authority = sources_[o.source].authority;
    const bool takes = ((alone || authority) && isReady(endpoint)) ||
                       (authority && std::any_of(spot.uids.begin(), spot.uids.end(), isReady));
    if (!takes || (view.confirmBy != 0 && view.goneAsOf < o.asOf)) {
      takeOut(endpoint, spot, view, o.asOf);
    } else if (view.confirmBy == 0) {
      first.push_back(endpoint);
    }
  }
  const double most = std::max(1.0, settings_.confirmShare * static_cast<double>(ready_));
  const bool waits = static_cast<double>(first.size()) > most;
  for (const std::string& endpoint : first) {
    Spot& spot = spots_[endpoint];
    View& view = spot.views[o.source];
    if (!waits) {
      takeOut(endpoint, spot, view, o.asOf);
    } else {
      view.goneAsOf = o.asOf;
      view.confirmBy = now + settings_.confirmWithin;
      markDirty(endpoint);
    }
  }
}

void Membership::observe(const Observation& o, Micros now) {
  if (o.source >= sources_.size()) return;
  Source& source = sources_[o.source];
  if (o.asOf < source.lastComplete) return;  // a later answer has said all there is
  const bool complete = o.kind == Observation::Kind::Complete;
  const bool warm = complete && !source.spoken && settings_.firstAnswerWarm;
  for (const Sighting& s : o.seen) overfull_ += !applySighting(o.source, s, o.asOf, warm);
  if (complete) {
    leaveOut(o, now);
    if (o.asOf > source.lastComplete) source.previousComplete = std::exchange(source.lastComplete, o.asOf);
    if (!source.spoken && !withRoster_) heard_ = true;
    source.spoken = true;
  }
  recount(o.source, now);
}

}  // namespace peargrade::membership
