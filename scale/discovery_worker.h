// Worker that simulates discovery: the fake with its counters, and a second one for supervisors to move to on
// a reload.
#pragma once

#include <deque>

#include "fakes/discovery.h"
#include "scale/scenario.h"
#include "scale/worker.h"

namespace peargrade::scale {

/// Commands:
/// - `addresses`: port: of both instances.
/// - `sample`: totals of what it holds, has sent, received and consumed.
/// - `change N`: changes N entries of the list; at: time of the change, revision: after the change,
///   server and drains: the changed servers and their new states.
/// - `break`: resets every watch; at: time of the reset.
/// - `watches`: first, second: number of open watches at each instance.
/// - `moved`: at: start times of the watches at the second instance since the last `moved`.
/// - `digest`: hash: of the list, upper and lower 32 bits; entries: number of entries of the list.
class DiscoveryWorker : public Worker {
 public:
  DiscoveryWorker(event_base* base, const Scenario& scenario);
  Measurements handle(const Command& command) override;

 private:
  Measurements sample();
  Measurements changeEntries(int count);
  void publish(int server, bool draining);

  const Scenario& scenario_;
  fakes::Discovery first_;
  fakes::Discovery second_;
  std::vector<bool> draining_;       // by server
  std::deque<int> drainingServers_;  // the longest draining first
  int nextServer_ = 0;               // to be drained
  std::vector<double> secondWatchTimes_;
  net::Timer changes_;
};

/// Hash of one entry of a list. Lists are compared by the sum over their entries, which ignores the order.
std::uint64_t entryHash(const std::string& server, bool draining);

}  // namespace peargrade::scale
