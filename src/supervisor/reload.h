// A new configuration for a running supervisor: read at SIGHUP, with a few more tries where the file is not
// whole yet.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::supervisor {

// What of a new configuration a running program takes over; the rest waits for a restart.
enum class TakeOver { Addresses, AddressesAndSettings };

class Reload {
 public:
  // `load` reads the file anew and throws ParseError; `apply` takes over what a running program can: it is
  // called once for a file, with all of that, or not at all.
  Reload(event_base* base, config::Config now, std::function<config::Config()> load,
         std::function<void(const config::Config&)> apply, log::Log& log,
         TakeOver takeOver = TakeOver::Addresses);

  // SIGHUP has come. Of several the last one counts: each reads the file as it is then.
  void ask();

 private:
  static constexpr Micros kFirstWait = 50000, kLongestWait = 800000;  // doubled: 2.35 s in all

  void attempt();
  // Whether `next` may not come into force; says why.
  bool refused(const config::Config& next);
  void takeOver(const config::Config& next);
  // The file cannot be read as it is: once more later, as it may be half written.
  void leaveOut(const std::string& what);
  bool settingsToo() const { return takeOver_ == TakeOver::AddressesAndSettings; }

  config::Config now_;
  std::function<config::Config()> load_;
  std::function<void(const config::Config&)> apply_;
  log::Log& log_;
  TakeOver takeOver_;
  Micros wait_ = 0;
  net::Timer again_;
};

}  // namespace peargrade::supervisor
