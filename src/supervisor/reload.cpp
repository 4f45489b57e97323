#include "supervisor/reload.h"

#include <algorithm>
#include <utility>

namespace peargrade::supervisor {

Reload::Reload(event_base* base, config::Config now, std::function<config::Config()> load,
               std::function<void(const config::Config&)> apply, log::Log& log)
    : now_(std::move(now)), load_(std::move(load)), apply_(std::move(apply)), log_(log), again_(base, [this] {
        attempt();
      }) {}

void Reload::ask() {
  wait_ = kFirstWait;
  attempt();
}

// Guards against a file that is half written, missing or wrong: what is in force stays in force.
void Reload::attempt() {
  again_.cancel();
  try {
    config::Config next = load_();
    for (const std::string& field : config::needRestart(now_, next))
      log_.warn("supervisor") << "new configuration: '" << field << "' is taken over by a restart only";
    log_.info("supervisor") << "configuration read: discovery " << next.discovery.text() << ", relay "
                            << next.relay.text();
    now_.discovery = next.discovery;
    now_.relay = next.relay;
    apply_(now_);
  } catch (const config::Wrong& e) {
    std::string what = e.what();
    std::replace(what.begin(), what.end(), '\n', ';');
    if (wait_ == kFirstWait)
      log_.error("supervisor") << "new configuration left out, the old one holds: " << what;
    if (wait_ > kLongestWait) return log_.warn("supervisor") << "new configuration given up", void();
    again_.in(wait_);
    wait_ *= 2;
  }
}

}  // namespace peargrade::supervisor
