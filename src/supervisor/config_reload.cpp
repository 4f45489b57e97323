#include "supervisor/config_reload.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/reload_check.h"
#include "errors/parse_error.h"

namespace peargrade::supervisor {
namespace {

/// As one line of the log.
std::string oneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ';');
  return text;
}

}  // namespace

ConfigReload::ConfigReload(event_base* base, config::Config inForce, Callbacks callbacks, log::Log& log,
                           ReloadScope scope)
    : inForce_(std::move(inForce)),
      callbacks_(std::move(callbacks)),
      log_(log),
      scope_(scope),
      retryTimer_(base, [this] { attempt(); }) {
  if (includesSettings())
    log_.info("supervisor") << "configuration in force: " << config::describeVersion(inForce_);
}

void ConfigReload::request() {
  state_ = State::FirstAttempt;
  retryDelay_ = kRetryDelayMin;
  attempt();
}

void ConfigReload::attempt() {
  retryTimer_.cancel();
  std::optional<config::Config> next;
  try {
    next = callbacks_.load();
  } catch (const ParseError& error) {
    return onUnreadable(oneLine(error.what()));
  }
  onLoaded(*next);
}

void ConfigReload::onLoaded(const config::Config& next) {
  state_ = State::Idle;
  if (!rejects(next)) accept(next);
}

void ConfigReload::onUnreadable(const std::string& problem) {
  if (state_ == State::FirstAttempt) logUnreadable(problem);
  if (retryDelay_ > kRetryDelayMax) {
    state_ = State::Idle;
    log_.warn("supervisor") << "giving up on the new configuration";
    return;
  }
  state_ = State::RetryPending;
  retryTimer_.schedule(retryDelay_);
  retryDelay_ *= 2;
}

void ConfigReload::logUnreadable(const std::string& problem) {
  if (!includesSettings()) {
    log_.error("supervisor") << "new configuration unreadable, keeping the one in force: " << problem;
    return;
  }
  log_.error("supervisor") << "new configuration rejected ("
                           << config::codeOf(config::RejectionCode::Unreadable) << "), keeping "
                           << config::describeVersion(inForce_) << ": " << problem;
}

bool ConfigReload::rejects(const config::Config& next) {
  if (!includesSettings()) return false;
  const auto objection = config::checkReload(inForce_, next);
  if (!objection) return false;
  log_.error("supervisor") << "new configuration rejected (" << config::codeOf(objection->code)
                           << "), keeping " << config::describeVersion(inForce_) << ": "
                           << oneLine(objection->message);
  return true;
}

void ConfigReload::accept(const config::Config& next) {
  warnOfRestartFields(next);
  log_.info("supervisor") << "configuration read: discovery " << next.discovery.text() << ", relay "
                          << next.relay.text();
  inForce_.discovery = next.discovery;
  inForce_.relay = next.relay;
  if (includesSettings()) {
    log_.info("supervisor") << "configuration in force: " << config::describeVersion(next) << ", after "
                            << config::describeVersion(inForce_);
    inForce_.settings = next.settings;
    inForce_.settingsText = next.settingsText;
    inForce_.version = next.version;
    inForce_.contentHash = next.contentHash;
  }
  callbacks_.apply(inForce_);
}

void ConfigReload::warnOfRestartFields(const config::Config& next) {
  for (const std::string& field : config::fieldsNeedingRestart(inForce_, next)) {
    if (includesSettings() && field == "settings") continue;
    log_.warn("supervisor") << "new configuration: '" << field << "' takes effect at a restart only";
  }
}

}  // namespace peargrade::supervisor
