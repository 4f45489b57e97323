// Which name server is asked next, by what each did lately. Free of I/O and clock: times are told.
#pragma once

#include <set>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dns {

// What the name servers did lately, by their number. Times in microseconds.
class Servers {
 public:
  explicit Servers(std::size_t count) : servers_(count) {}

  // The quickest of those that are not held back and not in `tried`; where all are, the one whose hold ends
  // first; where all were tried, the same among all. Each is asked now and then, so that one which was slow
  // once is not slow for ever.
  std::size_t next(Micros now, const std::set<std::size_t>& tried);
  void answered(std::size_t server, Micros took);
  // Did not answer, or not usefully. Held back for 1 s, doubled each time it goes on, 30 s at most.
  void failed(std::size_t server, Micros now);

  struct Standing {
    Micros usual = 0;  // smoothed time of an answer; 0: never answered
    int failures = 0;  // in a row
    Micros heldUntil = 0;
  };
  const std::vector<Standing>& standings() const { return servers_; }

 private:
  static constexpr Micros kHoldFirst = 1000000, kHoldMost = 30000000;

  std::vector<Standing> servers_;
};

}  // namespace peargrade::dns
