// Membership: explanation of the list, with the deciding rule and the reports of all sources for each server.
#include "membership/membership.h"

namespace peargrade::membership {
namespace {

std::string formatPresence(const RecordView& view, Micros now) {
  if (view.isUnconfirmed()) return "left out, awaiting a second response";
  return view.hasExpired(now) ? "expired" : "listed";
}

std::string formatView(const RecordView& view, Micros now) {
  if (!view.isPresent()) return view.lastListed == 0 ? "never listed" : "not listed";
  const ServiceRecord& record = view.record;
  return formatPresence(view, now) + " as " + record.target + " priority " + std::to_string(record.priority) +
         " weight " + std::to_string(static_cast<int>(record.weight));
}

}  // namespace

std::vector<Explanation> Membership::explain(Micros now) const {
  std::vector<Explanation> all;
  for (const auto& [server, entry] : known_.roster)
    all.push_back(explainServer(server, entry.address, rules_.desiredByRoster(server, entry, now), now));
  for (const auto& [address, state] : known_.addresses) {
    if (state.rosterServers.empty())
      all.push_back(explainServer(address, address, rules_.desiredByRecords(address, state, now), now));
  }
  return all;
}

Explanation Membership::explainServer(const ServerId& server, const std::string& address,
                                      const DesiredState& desired, Micros now) const {
  Explanation explanation;
  explanation.address = address;
  explanation.server = server;
  explanation.rule = desired.rule;
  explanation.until = desired.until;
  if (const PublishedList::Entry* const entry = published_.find(server)) {
    explanation.listed = true;
    explanation.state = entry->endpoint.state;
    explanation.startedAt = entry->endpoint.startedAt;
    explanation.weight = entry->endpoint.weight;
    if (!desired.listed) explanation.rule = entry->rule;
  }
  const auto listed = known_.roster.find(server);
  if (listed != known_.roster.end())
    explanation.roster = listed->second.endpoint.state == EndpointState::Ready ? "ready" : "draining";
  const auto found = known_.addresses.find(address);
  if (found == known_.addresses.end()) return explanation;
  const AddressState& state = found->second;
  if (explanation.roster.empty() && state.removal.by == Removal::By::Roster) explanation.roster = "gone";
  for (const RecordView& view : state.views) explanation.records.push_back(formatView(view, now));
  return explanation;
}

}  // namespace peargrade::membership
