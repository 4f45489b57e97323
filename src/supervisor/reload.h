// A new configuration for a running supervisor: read at SIGHUP, with a few more tries where the file is not
// whole yet.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::supervisor {

class Reload {
 public:
  // `load` reads the file anew and throws config::Wrong; `apply` takes over what a running program can.
  Reload(event_base* base, config::Config now, std::function<config::Config()> load,
         std::function<void(const config::Config&)> apply, log::Log& log);

  // SIGHUP has come. Of several the last one counts: each reads the file as it is then.
  void ask();

 private:
  static constexpr Micros kFirstWait = 50000, kLongestWait = 800000;  // doubled: 2.35 s in all

  void attempt();

  config::Config now_;
  std::function<config::Config()> load_;
  std::function<void(const config::Config&)> apply_;
  log::Log& log_;
  Micros wait_ = 0;
  net::Timer again_;
};

}  // namespace peargrade::supervisor
