// State machine of one query: server, transport and timeout of each attempt. Performs no I/O and reads no
// clock: the caller reports events and executes the step that is returned.
#pragma once

#include <set>

#include "dns/message.h"
#include "dns/servers.h"
#include "dns/settings.h"

namespace peargrade::dns {

/// One question, sent to one server after the other over UDP and TCP. Times in microseconds.
class Query {
 public:
  struct Step {
    enum class Action { Udp, Tcp, Done } action = Action::Done;
    std::size_t server = 0;  // index in Settings::servers
    Micros wait = 0;         // timeout of the answer
    bool edns = true;        // send with EDNS(0)
  };

  Query(const Settings& settings, Servers& servers) : settings_(settings), servers_(servers) {}

  Step begin(Micros now) { return nextAttempt(now); }
  /// Takes an answer that arrived from the server and over the transport of the last step. If `ignored` is
  /// set, the caller keeps waiting: the sender may not be the server.
  Step onAnswer(const Answer& answer, Micros now, bool& ignored);
  /// Takes a timeout or a transport failure.
  Step onFailure(Micros now, const char* why);

  /// The result, after Action::Done. A truncated answer whose remainder could not be fetched has the verdict
  /// Truncated.
  const Answer& result() const { return bestAnswer_; }
  /// One executed step, for the operator's display.
  struct Taken {
    std::size_t server;
    bool tcp;
    Micros at;         // start of the step
    Micros took;       // duration
    std::string what;  // a verdict, or why the transport failed
  };
  const std::vector<Taken>& taken() const { return taken_; }

 private:
  Step nextAttempt(Micros now);
  void recordStep(Micros now, const std::string& outcome);

  const Settings& settings_;
  Servers& servers_;
  std::set<std::size_t> triedServers_;
  Step step_;
  int attempts_ = 0;
  int unrelatedAnswers_ = 0;  // in the current attempt
  Micros stepStart_ = 0;
  bool withoutEdns_ = false;  // a server rejected a query with EDNS(0)
  Answer bestAnswer_{Verdict::ServFail, {}, {}, 0, false, 0};
  std::vector<Taken> taken_;
};

}  // namespace peargrade::dns
