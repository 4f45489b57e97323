// A checker of two rules, simple and apart from the program: from the tables as the relay's store holds them,
// how long each slice had no line to a server that can take work, and whether a line was set to one that
// drains or has gone.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fakes/relay.h"

namespace peargrade::fakes {

class SliceCoverage {
 public:
  // `clock` in microseconds. It takes over the relay's onOrder.
  SliceCoverage(Relay& relay, std::function<Micros()> clock);

  // ---- The truth ----
  void runs(const std::string& server) { running_.insert(server); }
  // From now on nothing is to be sent there; lines that stand have `grace` to go.
  void leaves(const std::string& server, Micros grace);

  // To be called often: a slice counts as bare between two calls that both see it so.
  void sample();

  // ---- What was seen ----
  Micros worst() const { return worst_; }  // longest that a slice had no usable line
  const std::string& where() const { return where_; }
  const std::vector<std::string>& wrongs() const {
    return wrongs_;
  }  // lines that were set or kept against a leave

 private:
  Relay& relay_;
  std::function<Micros()> clock_;
  std::set<std::string> running_;
  std::map<std::string, Micros> left_;  // when its grace ends
  std::map<int, Micros> bareSince_;
  Micros worst_ = 0;
  std::string where_;
  std::vector<std::string> wrongs_;
};

}  // namespace peargrade::fakes
