// Hollow relay: a fake for each supervisor, as each has its own store of slices, and the proxies behind
// them.
#pragma once

#include <deque>
#include <memory>
#include <set>

#include "fakes/relay.h"
#include "scale/part.h"
#include "scale/scenario.h"

namespace peargrade::scale {

// The proxies. All of them are ordered the same, so that one table is kept and counted for each.
class Proxies {
 public:
  // Carries out what one call orders; all of it is timed on the thread's clock.
  void apply(const std::string& orders);
  void hold(int slice, const std::string& server, const std::string& weight);

  std::size_t entries() const;  // lines, levels and shut servers of a table
  std::size_t bytes() const;    // of their words
  double cpuSeconds = 0;
  std::uint64_t messages = 0, messageBytes = 0;

 private:
  void one(const std::string& order);

  std::map<int, std::map<std::string, std::string>> lines_;
  std::map<std::pair<std::string, std::string>, std::string> levels_;
  std::set<std::string> shut_;
};

// Asked:
//   addresses  -> port: of each supervisor's relay
//   watches    -> standing: how many supervisors' news stand
//   sample     -> what relay and proxies hold, have sent, received and spent so far; the worst of what the
//                 rules bound
//   server K 0|1 -> it drains, or serves again: for the rules on tables
class RelayPart : public Part {
 public:
  RelayPart(event_base* base, const Scenario& scenario);
  Figures on(const Words& words) override;

 private:
  // One supervisor's relay and what the rules say of it.
  struct Store {
    std::unique_ptr<fakes::Relay> relay;
    std::deque<Micros> calls;         // within the span of the settings
    std::map<int, Micros> bareSince;  // slices without a usable line
    Micros rulesFrom = 0;             // its supervisor is there, and the rules count; 0: it is not
    double waiting = 0;               // lines in the channel
    std::set<std::string> shut;       // servers whose lines are not used
  };
  struct Due {
    Micros at;
    std::size_t store;
    int mark;      // -1: none
    double lines;  // that leave the channel
  };

  void onCall(std::size_t number, const std::string& orders);
  void onDue();
  void look();  // at what the rules bound
  void lookAt(Store& store, Micros now);
  Figures sample();

  const Scenario& scenario_;
  std::vector<Store> stores_;
  Proxies proxies_;
  std::deque<Due> due_;
  std::map<std::string, Micros> leaving_;  // servers that drain, since when
  Micros bareMost_ = 0, staleMost_ = 0;
  double callsMost_ = 0, waitingMost_ = 0;
  net::Timer tick_;
};

}  // namespace peargrade::scale
