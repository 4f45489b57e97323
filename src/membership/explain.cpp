// The list for people: each server with what every source says of it and the rule that decides.
#include "membership/membership.h"

namespace peargrade::membership {

Membership::Explained Membership::explained(const ServerId& id, const std::string& endpoint,
                                            const Desired& desired, Micros now) const {
  Explained e;
  e.endpoint = endpoint;
  e.server = id;
  const auto told = published_.find(id);
  e.listed = told != published_.end();
  if (e.listed) {
    e.state = told->second.entry.state;
    e.startedAt = told->second.entry.startedAt;
    e.weight = told->second.entry.weight;
  }
  e.rule = e.listed && !desired.listed ? told->second.rule : desired.rule;
  e.until = desired.until;
  const auto listed = roster_.find(id);
  if (listed != roster_.end())
    e.roster = listed->second.entry.state == EndpointState::Ready ? "ready" : "draining";
  const auto spot = spots_.find(endpoint);
  if (spot == spots_.end()) return e;
  if (e.roster.empty() && spot->second.goneAt != 0 && !spot->second.goneByRecords) e.roster = "gone";
  for (const View& v : spot->second.views) e.records.push_back(textOf(v, now));
  return e;
}

std::string Membership::textOf(const View& v, Micros now) {
  if (!v.present) return v.seenAt == 0 ? "never listed" : "not listed";
  const std::string says = v.confirmBy != 0      ? "left out, second answer awaited"
                           : v.last.until <= now ? "expired"
                                                 : "listed";
  return says + " as " + v.last.name + " priority " + std::to_string(v.last.tier) + " weight " +
         std::to_string(static_cast<int>(v.last.weight));
}

std::vector<Membership::Explained> Membership::explain(Micros now) const {
  std::vector<Explained> all;
  for (const auto& [uid, listed] : roster_)
    all.push_back(explained(uid, listed.endpoint, desiredByRoster(uid, listed, now), now));
  for (const auto& [endpoint, spot] : spots_) {
    if (spot.uids.empty())
      all.push_back(explained(endpoint, endpoint, desiredByRecords(endpoint, spot, now), now));
  }
  return all;
}

}  // namespace peargrade::membership
