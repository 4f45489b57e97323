#include "supervisor/reload.h"

#include <algorithm>
#include <utility>

#include "config/takeover.h"

namespace peargrade::supervisor {
namespace {

std::string oneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ';');
  return text;
}

}  // namespace

Reload::Reload(event_base* base, config::Config now, std::function<config::Config()> load,
               std::function<void(const config::Config&)> apply, log::Log& log, TakeOver takeOver)
    : now_(std::move(now)),
      load_(std::move(load)),
      apply_(std::move(apply)),
      log_(log),
      takeOver_(takeOver),
      again_(base, [this] { attempt(); }) {
  if (settingsToo()) log_.info("supervisor") << "configuration in force: " << config::versionOf(now_);
}

void Reload::ask() {
  wait_ = kFirstWait;
  attempt();
}

// Guards against a file that is half written, missing or wrong: what is in force stays in force.
void Reload::attempt() {
  again_.cancel();
  try {
    const config::Config next = load_();
    if (!refused(next)) takeOver(next);
  } catch (const ParseError& e) {
    leaveOut(oneLine(e.what()));
  }
}

bool Reload::refused(const config::Config& next) {
  if (!settingsToo()) return false;
  const auto objection = config::objection(now_, next);
  if (!objection) return false;
  log_.error("supervisor") << "new configuration refused (" << config::code(objection->refusal) << "), "
                           << config::versionOf(now_) << " holds: " << oneLine(objection->what);
  return true;
}

void Reload::takeOver(const config::Config& next) {
  for (const std::string& field : config::needRestart(now_, next)) {
    if (settingsToo() && field == "settings") continue;
    log_.warn("supervisor") << "new configuration: '" << field << "' is taken over by a restart only";
  }
  log_.info("supervisor") << "configuration read: discovery " << next.discovery.text() << ", relay "
                          << next.relay.text();
  now_.discovery = next.discovery;
  now_.relay = next.relay;
  if (settingsToo()) {
    log_.info("supervisor") << "configuration in force: " << config::versionOf(next) << ", after "
                            << config::versionOf(now_);
    now_.settings = next.settings;
    now_.settingsText = next.settingsText;
    now_.version = next.version;
    now_.content = next.content;
  }
  apply_(now_);
}

void Reload::leaveOut(const std::string& what) {
  if (wait_ == kFirstWait && settingsToo())
    log_.error("supervisor") << "new configuration refused (" << config::code(config::Refusal::Unreadable)
                             << "), " << config::versionOf(now_) << " holds: " << what;
  else if (wait_ == kFirstWait)
    log_.error("supervisor") << "new configuration left out, the old one holds: " << what;
  if (wait_ > kLongestWait) return log_.warn("supervisor") << "new configuration given up", void();
  again_.schedule(wait_);
  wait_ *= 2;
}

}  // namespace peargrade::supervisor
