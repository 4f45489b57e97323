#include "membership/published_list.h"

namespace peargrade::membership {

const PublishedList::Entry* PublishedList::find(const ServerId& server) const {
  const auto found = entries_.find(server);
  return found == entries_.end() ? nullptr : &found->second;
}

bool PublishedList::isReady(const ServerId& server) const {
  const Entry* const entry = find(server);
  return entry != nullptr && entry->endpoint.state == EndpointState::Ready;
}

void PublishedList::set(const Endpoint& endpoint, Rule rule) {
  if (isReady(endpoint.server)) --readyCount_;
  entries_[endpoint.server] = {endpoint, rule};
  if (endpoint.state == EndpointState::Ready) ++readyCount_;
}

void PublishedList::setRule(const ServerId& server, Rule rule) { entries_.at(server).rule = rule; }

void PublishedList::remove(const ServerId& server) {
  if (isReady(server)) --readyCount_;
  entries_.erase(server);
}

}  // namespace peargrade::membership
