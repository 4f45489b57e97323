// Membership: applies the roster.
#include "membership/membership.h"

namespace peargrade::membership {

void Membership::applyRoster(EndpointListKind kind, const std::vector<RosterEntry>& entries, Micros now) {
  if (known_.rosterStatus == RosterStatus::NotConfigured) return;
  if (kind == EndpointListKind::Failed || kind == EndpointListKind::Cached) return;
  updateDue_ = true;
  if (kind == EndpointListKind::Full) {
    fullListRequested_ = true;
    removeMissingFromRoster(entries, now);
  }
  for (const RosterEntry& entry : entries) {
    if (entry.endpoint.state == EndpointState::Removed)
      removeRosterServer(entry.endpoint.server, now);
    else
      addRosterServer(entry);
  }
  if (known_.rosterStatus == RosterStatus::Received) return;
  known_.rosterStatus = RosterStatus::Received;
  // Servers that only records list have waited for the roster and may be listed now.
  for (const auto& [address, state] : known_.addresses) markChanged(address);
}

void Membership::addRosterServer(const RosterEntry& entry) {
  const bool isKnown = known_.roster.count(entry.endpoint.server) != 0;
  if (!isKnown && known_.roster.size() >= settings_.serversMax) {
    ++rejectedServers_;
    return;
  }
  setRosterEntry(entry);
  changedRosterServers_.insert(entry.endpoint.server);
  if (entry.address.empty()) return;
  markChanged(entry.address);
  if (entry.endpoint.state != EndpointState::Ready) return;
  // The roster may revoke its own removal. It revokes one by records with authority only with a newer start.
  Removal& removal = known_.addresses.at(entry.address).removal;
  if (removal.by != Removal::By::Records || entry.endpoint.startedAt > removal.at) removal = {};
}

// Records the removal at the address, so that records that still list the server do not add it again.
void Membership::removeRosterServer(const ServerId& server, Micros now) {
  const auto found = known_.roster.find(server);
  if (found == known_.roster.end()) return;
  const auto address = known_.addresses.find(found->second.address);
  if (address != known_.addresses.end()) {
    AddressState& state = address->second;
    state.rosterServers.erase(server);
    if (state.rosterServers.empty()) state.removal = {Removal::By::Roster, now, false};
    markChanged(address->first);
  }
  known_.roster.erase(found);
  changedRosterServers_.insert(server);
}

void Membership::removeMissingFromRoster(const std::vector<RosterEntry>& entries, Micros now) {
  std::set<ServerId> listed;
  for (const RosterEntry& entry : entries) listed.insert(entry.endpoint.server);
  std::vector<ServerId> missing;
  for (const auto& [server, entry] : known_.roster) {
    if (listed.count(server) == 0) missing.push_back(server);
  }
  for (const ServerId& server : missing) removeRosterServer(server, now);
}

// Also detaches the server from its previous address if the address changed.
void Membership::setRosterEntry(const RosterEntry& entry) {
  const ServerId& server = entry.endpoint.server;
  RosterEntry& current = known_.roster[server];
  const std::string previousAddress = current.address;
  current = entry;
  const auto previous = known_.addresses.find(previousAddress);
  const bool hadAddress = !previousAddress.empty() && previous != known_.addresses.end();
  if (hadAddress && previousAddress == entry.address && previous->second.rosterServers.count(server) != 0)
    return;
  if (hadAddress) {
    previous->second.rosterServers.erase(server);
    markChanged(previousAddress);
  }
  if (entry.address.empty()) return;
  addressState(entry.address).rosterServers.insert(server);
  markChanged(entry.address);
}

// Returns the state of the address; adds it if the address is unknown.
AddressState& Membership::addressState(const std::string& address) {
  return known_.addresses.try_emplace(address, known_.sources.size()).first->second;
}

}  // namespace peargrade::membership
