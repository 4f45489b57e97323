// Hollow discovery: the fake with its counts, and a second one that a reload may move to.
#pragma once

#include <deque>

#include "fakes/discovery.h"
#include "scale/part.h"
#include "scale/scenario.h"

namespace peargrade::scale {

// Asked:
//   addresses          -> port: of both
//   sample             -> what it holds, has sent, received and spent so far
//   change N           -> N entries change: at: when, revision: after it, server and drains: what they are
//   now break              -> every watch is reset watches            -> first, second: how many stand moved
//   -> at: when each watch of the second began digest             -> of its list: hash (two halves), entries
class DiscoveryPart : public Part {
 public:
  DiscoveryPart(event_base* base, const Scenario& scenario);
  Figures on(const Words& words) override;

 private:
  Figures sample();
  Figures change(int entries);
  void tell(int server, bool draining);

  const Scenario& scenario_;
  fakes::Discovery first_, second_;
  std::vector<bool> draining_;
  std::deque<int> order_;  // those that drain, the oldest first
  int next_ = 0;           // that drains
  std::vector<double> movedAt_;
  net::Timer changes_;
};

// What is compared of lists: the sum of the hashes of their entries, so that their order does not count.
std::uint64_t entryHash(const std::string& server, bool draining);

}  // namespace peargrade::scale
