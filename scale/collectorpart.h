// Hollow collectors: one for each zone, with a connection to every supervisor, from the fake.
#pragma once

#include <memory>
#include <random>

#include "fakes/collector.h"
#include "scale/part.h"
#include "scale/scenario.h"

namespace peargrade::scale {

// Asked:
//   dial K HOST PORT   -> the supervisor K is there from now on
//   gone K             -> no longer
//   connected          -> connected: connections that stand, of: those that should
//   sample             -> what it holds, has sent and spent so far
class CollectorPart : public Part {
 public:
  CollectorPart(event_base* base, const Scenario& scenario);
  Figures on(const Words& words) override;

 private:
  struct Target {
    net::Address address;
    bool there = false;
    std::vector<std::unique_ptr<fakes::Collector>> links;  // by zone
  };
  void tick();
  void dial(Target& target, int zone);
  // Reports of a zone's proxies on servers of a service, as frames.
  const std::string& serverReports(int zone, int service);
  std::string sliceReports(int supervisor);
  Figures sample();

  const Scenario& scenario_;
  event_base* base_;
  std::vector<Target> targets_;
  std::mt19937_64 random_;
  std::size_t next_ = 0;             // target of the next tick
  Micros periodFrom_ = 0;            // the period under way began then
  std::vector<std::string> frames_;  // by service and zone, of this period
  const int reported_;               // servers in one of them
  std::uint64_t bytes_ = 0, messages_ = 0, late_ = 0;
  std::size_t unsentMost_ = 0;
  net::Timer tick_;
};

}  // namespace peargrade::scale
