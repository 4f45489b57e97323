#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace peargrade::membership {

Membership::Membership(const Settings& settings, const std::vector<bool>& authority, bool hasRoster,
                       const std::vector<RosterEntry>& cached, Micros now)
    : settings_(settings) {
  known_.rosterStatus = hasRoster ? RosterStatus::Awaited : RosterStatus::NotConfigured;
  known_.startedAt = now;
  known_.sources.resize(authority.size());
  for (std::size_t source = 0; source < authority.size(); ++source) {
    known_.sources[source].authority = authority[source];
  }
  for (const RosterEntry& entry : cached) {
    if (!entry.address.empty()) cachedStarts_[entry.address] = entry.endpoint.startedAt;
    if (!hasRoster || entry.endpoint.state == EndpointState::Removed) continue;
    setRosterEntry(entry);
    published_.set(entry.endpoint, Rule::Roster);
  }
}

std::optional<MembershipUpdate> Membership::reconcile(Micros now) {
  MembershipUpdate update;
  evaluateChanged(now, update);
  runRemovalStep(now, update);
  if (published_.readyCount() < settings_.minimumReady) {
    const std::set<std::string> held = flapHeld_;
    for (const std::string& address : held) evaluateAddress(address, now, update);
  }
  changedAddresses_.clear();
  const bool anySourceReceived =
      known_.rosterStatus == RosterStatus::Received ||
      std::any_of(known_.sources.begin(), known_.sources.end(),
                  [](const RecordSource& source) { return source.hasCompleteResponse; });
  const bool fullListDue = fullListRequested_ && anySourceReceived;
  if (update.decisions.empty() && !updateDue_ && !fullListDue) return std::nullopt;
  update.list.kind = fullListRequested_ ? EndpointListKind::Full : EndpointListKind::Delta;
  if (fullListRequested_) {
    update.list.endpoints.clear();
    for (const auto& [server, entry] : published_.entries()) update.list.endpoints.push_back(entry.endpoint);
  }
  update.list.version = ++version_;
  fullListRequested_ = false;
  updateDue_ = false;
  return update;
}

std::optional<Micros> Membership::nextReconcile() const {
  const std::optional<Micros> evaluation = schedule_.next();
  const std::optional<Micros> step = departures_.nextStep();
  if (!evaluation) return step;
  if (!step) return evaluation;
  return std::min(*evaluation, *step);
}

bool Membership::awaitsConfirmation() const {
  return std::any_of(known_.addresses.begin(), known_.addresses.end(), [](const auto& address) {
    const std::vector<RecordView>& views = address.second.views;
    return std::any_of(views.begin(), views.end(),
                       [](const RecordView& view) { return view.isUnconfirmed(); });
  });
}

}  // namespace peargrade::membership
