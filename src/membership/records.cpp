// Membership: applies observations of records.
#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

// Whether applying `listed` may change the desired state of the address.
bool changesView(const RecordView& view, const ServiceRecord& listed, Micros asOf) {
  const ServiceRecord& record = view.record;
  return !view.isPresent() || view.isUnconfirmed() || view.hasExpired(asOf) ||
         record.priority != listed.priority || record.weight != listed.weight || record.zone != listed.zone ||
         record.kind != listed.kind || record.cell != listed.cell;
}

// Whether the record drains the server and did not already drain it. A repeated drain keeps the time of the
// first one; a new drain applies to the server process that runs now.
bool beginsDrain(const AddressState& state, const RecordView& view, const ServiceRecord& listed) {
  if (listed.state != EndpointState::Draining) return false;
  const bool repeated =
      view.presence == RecordView::Presence::Listed && view.record.state == EndpointState::Draining;
  return state.drainedAt == 0 || !repeated;
}

// Whether a complete observation leaves out the address.
bool leavesOut(const Observation& observation, const std::set<std::string>& offered,
               const std::string& address, const RecordView& view) {
  if (!view.isPresent() || offered.count(address) != 0) return false;
  // Another response of the same or a later time listed it.
  if (view.lastListed >= observation.asOf) return false;
  return observation.unresolvedTargets.count(view.record.target) == 0;
}

}  // namespace

void Membership::applyRecords(const Observation& observation, Micros now) {
  if (observation.source >= known_.sources.size()) return;
  RecordSource& source = known_.sources[observation.source];
  if (observation.asOf < source.lastComplete) return;
  const bool complete = observation.kind == Observation::Kind::Complete;
  const bool warm = complete && !source.hasCompleteResponse && settings_.firstResponseIsWarm;
  for (const ServiceRecord& record : observation.records) {
    if (!applyRecord(observation.source, record, observation.asOf, warm)) ++rejectedServers_;
  }
  if (complete) {
    applyAbsences(observation, now);
    if (!source.hasCompleteResponse && known_.rosterStatus == RosterStatus::NotConfigured) updateDue_ = true;
    source.recordComplete(observation.asOf);
  }
  recountTiers(observation.source, now);
}

// Returns false if the address is unknown and `serversMax` addresses are already known.
bool Membership::applyRecord(std::size_t source, const ServiceRecord& record, Micros asOf, bool warm) {
  const auto found = known_.addresses.find(record.address);
  const bool isKnown = found != known_.addresses.end();
  if (!isKnown && known_.addresses.size() >= settings_.serversMax) return false;
  AddressState& state = isKnown ? found->second : addressState(record.address);
  RecordView& view = state.views[source];
  const bool authority = known_.sources[source].authority;
  if (authority && beginsDrain(state, view, record)) {
    state.drainedAt = asOf;
    markChanged(record.address);
  }
  updateStart(state, record, asOf, warm);
  if (changesView(view, record, asOf) || departures_.contains(record.address)) markChanged(record.address);
  view.refresh(record, asOf, known_.sources[source].lastCompleteBefore(asOf));
  if (authority) applyAuthority(state, view, record);
  state.forgetAt = 0;
  return true;
}

// Applies what only a source with authority may state: a start time, the end of a drain and the end of a
// removal by records.
void Membership::applyAuthority(AddressState& state, const RecordView& view, const ServiceRecord& record) {
  if (record.startedAt > 0 && record.startedAt != state.startedAt) {
    state.startedAt = record.startedAt;
    markChanged(record.address);
  }
  // A drain ends with a restart: a later start time, or an absence from the source.
  const bool restarted = record.startedAt > state.drainedAt || view.absentAt > state.drainedAt;
  if (state.drainedAt != 0 && record.state == EndpointState::Ready && restarted) {
    state.drainedAt = 0;
    markChanged(record.address);
  }
  if (state.removal.by == Removal::By::Records && view.appearedAt > state.removal.at) {
    state.removal = {};
    markChanged(record.address);
  }
}

// Derives the server's start time from records: the first observation since the address was absent, unless
// the start is cached or stated. A response of the same time as the removal does not indicate a new start.
void Membership::updateStart(AddressState& state, const ServiceRecord& record, Micros asOf, bool warm) const {
  if (state.absentSince != 0 && asOf <= state.absentSince) return;
  if (state.isPresent()) {
    state.startedAt = std::min(state.startedAt, asOf);
    return;
  }
  const auto cached = cachedStarts_.find(record.address);
  if (cached != cachedStarts_.end())
    state.startedAt = cached->second;
  else if (record.startedAt > 0)
    state.startedAt = record.startedAt;
  else
    state.startedAt = warm ? 0 : asOf;
}

// Removes the addresses that a complete response leaves out. If it leaves out a large share of the pool, the
// removal must be confirmed by a second response.
void Membership::applyAbsences(const Observation& observation, Micros now) {
  std::set<std::string> offered;
  for (const ServiceRecord& record : observation.records) offered.insert(record.address);
  std::vector<std::string> unconfirmed;
  for (auto& [address, state] : known_.addresses) {
    RecordView& view = state.views[observation.source];
    if (!leavesOut(observation, offered, address, view)) continue;
    const bool confirms = view.isUnconfirmed() && view.leftOutAt < observation.asOf;
    if (confirms || !removalAffectsReadyServer(address, state, view))
      removeRecord(address, state, view, observation.asOf);
    else if (!view.isUnconfirmed())
      unconfirmed.push_back(address);
  }
  const double removableAtOnce =
      std::max(1.0, settings_.confirmationShare * static_cast<double>(published_.readyCount()));
  const bool needsConfirmation = static_cast<double>(unconfirmed.size()) > removableAtOnce;
  for (const std::string& address : unconfirmed) {
    AddressState& state = known_.addresses.at(address);
    RecordView& view = state.views[observation.source];
    if (needsConfirmation) {
      view.awaitConfirmation(observation.asOf, now + settings_.confirmationTimeout);
      markChanged(address);
    } else {
      removeRecord(address, state, view, observation.asOf);
    }
  }
}

// Whether removing the record may take a ready server off the list.
bool Membership::removalAffectsReadyServer(const std::string& address, const AddressState& state,
                                           const RecordView& view) const {
  const bool authority = known_.sources[view.source].authority;
  const bool onlySource = std::none_of(state.views.begin(), state.views.end(), [&](const RecordView& other) {
    return &other != &view && other.isPresent();
  });
  if ((onlySource || authority) && published_.isReady(address)) return true;
  return authority && std::any_of(state.rosterServers.begin(), state.rosterServers.end(),
                                  [&](const ServerId& server) { return published_.isReady(server); });
}

void Membership::removeRecord(const std::string& address, AddressState& state, RecordView& view,
                              Micros asOf) {
  view.remove(asOf);
  if (known_.sources[view.source].authority) state.removal = {Removal::By::Records, asOf, false};
  if (!state.isPresent()) {
    state.absentSince = std::max(state.absentSince, asOf);
    cachedStarts_.erase(address);
  }
  markChanged(address);
}

void Membership::recountTiers(std::size_t source, Micros now) {
  SourceTiers::Counts counts;
  for (const auto& [address, state] : known_.addresses) {
    const RecordView& view = state.views[source];
    if (!view.isPresent()) continue;
    SourceTiers::Count& count = counts[view.record.priority];
    ++count.present;
    if (rules_.isUsable(state)) ++count.usable;
    count.weight += view.record.weight;
  }
  const SourceTiers::Changes changes = known_.sources[source].tiers.recount(counts, settings_, now);
  for (const Micros at : changes.recountAt) schedule_.scheduleTiers(at);
  if (!changes.meanWeights) return;
  for (const auto& [address, state] : known_.addresses) {
    if (state.views[source].isPresent()) markChanged(address);
  }
}

void Membership::updateTiers(Micros now) {
  for (std::size_t source = 0; source < known_.sources.size(); ++source) {
    SourceTiers& tiers = known_.sources[source].tiers;
    if (tiers.size() < 2) {
      tiers.useAll();
      continue;
    }
    recountTiers(source, now);
    const std::vector<int> changed = tiers.updateUse(settings_);
    if (changed.empty()) continue;
    for (const auto& [address, state] : known_.addresses) {
      const RecordView& view = state.views[source];
      const bool affected = std::find(changed.begin(), changed.end(), view.record.priority) != changed.end();
      if (view.isPresent() && affected) markChanged(address);
    }
  }
}

}  // namespace peargrade::membership
