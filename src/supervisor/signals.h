// The signals of a supervisor: held from the first line of the program until they can be served, and again
// from the last turn to the exit, so that none ends the process by its default.
#pragma once

#include <functional>

#include "net/net.h"

namespace peargrade::supervisor {

class Signals {
 public:
  // What comes from here on waits.
  static void hold();

  // Serves what has come and what comes, in the loop, until this is gone.
  explicit Signals(event_base* base);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

  bool stopping() const { return stopping_; }  // SIGTERM or SIGINT has come
  // SIGHUP and SIGUSR1; without one they are taken in and left out.
  void onReload(std::function<void()> reload) { reload_ = std::move(reload); }
  void onExplain(std::function<void()> explain) { explain_ = std::move(explain); }

 private:
  static void onSignal(evutil_socket_t number, short, void* self);

  bool stopping_ = false;
  std::function<void()> reload_, explain_;
  net::EventHandle handles_[4];
};

}  // namespace peargrade::supervisor
