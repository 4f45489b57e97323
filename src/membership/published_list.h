/// The endpoint list as published to the decision module.
#pragma once

#include <cstddef>
#include <map>

#include "membership/rule.h"
#include "peargrade/decision_engine.h"

namespace peargrade::membership {

/// Ready and draining servers, each with the rule that lists it.
class PublishedList {
 public:
  struct Entry {
    Endpoint endpoint;
    Rule rule = Rule::Roster;
  };

  /// nullptr if the server is not listed.
  const Entry* find(const ServerId& server) const;
  bool contains(const ServerId& server) const { return find(server) != nullptr; }
  bool isReady(const ServerId& server) const;

  /// Adds or replaces the endpoint.
  void set(const Endpoint& endpoint, Rule rule);
  /// Replaces the rule of a listed server.
  void setRule(const ServerId& server, Rule rule);
  void remove(const ServerId& server);

  const std::map<ServerId, Entry>& entries() const { return entries_; }
  std::size_t size() const { return entries_.size(); }
  std::size_t readyCount() const { return readyCount_; }

 private:
  std::map<ServerId, Entry> entries_;
  std::size_t readyCount_ = 0;
};

}  // namespace peargrade::membership
