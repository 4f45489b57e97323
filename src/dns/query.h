// The life of one question: which server, which transport, how long to wait, when to give up. Free of I/O and
// clock: it is told what came and says what to do next.
#pragma once

#include <set>

#include "dns/message.h"
#include "dns/servers.h"
#include "dns/settings.h"

namespace peargrade::dns {

// One question on its way from server to server, over UDP and TCP. Times in microseconds.
class Query {
 public:
  struct Step {
    enum class Do { Udp, Tcp, Done } what = Do::Done;
    std::size_t server = 0;
    Micros wait = 0;  // for the answer
    bool edns = true;
  };

  Query(const Settings& settings, Servers& servers) : settings_(settings), servers_(servers) {}

  Step begin(Micros now) { return another(now); }
  // An answer came from the server and over the transport of the last step. Nothing is to be done where
  // `ignored` is set: the wait goes on, as whoever sent it may not be the server.
  Step answered(const Answer& answer, Micros now, bool& ignored);
  // The wait is over, or the transport failed.
  Step failed(Micros now, const char* why);

  // After Done: what is known. A truncated answer whose rest never came has the verdict Truncated.
  const Answer& result() const { return best_; }
  // The steps that were taken, for people.
  struct Taken {
    std::size_t server;
    bool tcp;
    Micros at, took;
    std::string what;  // a verdict, or why the transport failed
  };
  const std::vector<Taken>& taken() const { return taken_; }

 private:
  Step another(Micros now);
  void note(Micros now, const std::string& what);

  const Settings& settings_;
  Servers& servers_;
  std::set<std::size_t> tried_;
  Step step_;
  int tries_ = 0;
  int strangers_ = 0;  // in this wait
  Micros since_ = 0;
  bool plain_ = false;  // a server that does not know EDNS(0) was met
  Answer best_{Verdict::ServFail, {}, {}, 0, false, 0};
  std::vector<Taken> taken_;
};

}  // namespace peargrade::dns
