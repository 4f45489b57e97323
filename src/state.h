// What a Director remembers: plain records and counters without any decision or tuned value.
#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "peargrade/director.h"

namespace peargrade {

// SplitMix64: small, seeded, the same on every platform (the standard distributions are not).
class Rng {
 public:
  explicit Rng(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }  // in [0, 1)

 private:
  std::uint64_t state_;
};

// A sum that fades with time.
class Fading {
 public:
  void add(Micros now, double amount, Micros memory) {
    sum_ = at(now, memory) + amount;
    updated_ = now;
  }
  double at(Micros now, Micros memory) const {
    return sum_ == 0 ? 0
                     : sum_ * std::exp(-static_cast<double>(now - updated_) / static_cast<double>(memory));
  }

 private:
  double sum_ = 0;
  Micros updated_ = 0;
};

// What the proxies of one zone met at one server lately.
struct Met {
  Fading tries;
  Fading failed;
};

struct Server {
  ServerEntry entry;
  bool listed = false;       // in the list as it stands
  Micros changedAt = 0;      // when it last started, came back or was emptied, as far as seen; 0: never
  std::map<int, Met> met;    // by zone of the proxies
  Fading answers, latencySum, allTries;
  std::deque<std::pair<Micros, double>> latencies;  // for the lowest of a span
  Micros reportedAt = 0;
  double strength = 1;       // what it bears against what its weight says
  Micros strengthAt = 0;
  Micros hotJudgedAt = 0;
  int hotRuns = 0;
  Micros movedAt = 0;        // last time a slice was ordered off it
  Micros nextMoveAt = 0;
  Micros gaveAt = 0;         // last time it was given a slice by refill
  bool failing = false;
  Micros failingUntil = 0;
  Micros failingHold = 0;
  double admitted = 1;       // share of the work for it that is let in
  double allowance = 0;      // heat per usable weight that it may be sent; 0: as much as comes
  int rises = 0;             // of the allowance, one after the other
  Micros allowedAt = 0;
  bool withdrawn = false;    // sites without slices
};

struct Slice {
  bool mine = false;
  std::map<ServerId, double> want;  // the table as decided
  std::map<ServerId, double> sent;  // the table as last ordered or read from the store
  ServerId home;                    // the line that carries the slice
  ServerId firstHome;               // where it was when this supervisor got it
  std::vector<Fading> demand;       // by class
  std::vector<double> levels, sentLevels;  // by class
  Micros movedAt = 0;
  Micros givenAt = 0;
};

struct Proxy {
  int zone = 0;
  Micros joinedAt = 0;
};

}  // namespace peargrade
