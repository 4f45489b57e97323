#include "supervisor/config_reload.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/reload_check.h"
#include "errors/parse_error.h"

namespace peargrade::supervisor {
namespace {

/// Joins the lines of a text with semicolons, because a log message is a single line.
std::string joinLines(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ';');
  return text;
}

}  // namespace

ConfigReload::ConfigReload(event_base* base, config::Config activeConfig, Callbacks callbacks, log::Log& log,
                           ReloadScope scope)
    : activeConfig_(std::move(activeConfig)),
      callbacks_(std::move(callbacks)),
      log_(log),
      scope_(scope),
      retryTimer_(base, [this] { attempt(); }) {
  if (includesSettings())
    log_.info("supervisor") << "configuration in force: " << config::describeVersion(activeConfig_);
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
    return onUnreadable(joinLines(error.what()));
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
    log_.warn("supervisor") << "giving up on the new configuration: still unreadable after the last retry";
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
                           << config::describeVersion(activeConfig_) << ": " << problem;
}

bool ConfigReload::rejects(const config::Config& next) {
  if (!includesSettings()) return false;
  const auto rejection = config::checkReload(activeConfig_, next);
  if (!rejection) return false;
  log_.error("supervisor") << "new configuration rejected (" << config::codeOf(rejection->code)
                           << "), keeping " << config::describeVersion(activeConfig_) << ": "
                           << joinLines(rejection->message);
  return true;
}

void ConfigReload::accept(const config::Config& next) {
  warnOfRestartFields(next);
  log_.info("supervisor") << "configuration read: discovery " << next.discovery.text() << ", relay "
                          << next.relay.text();
  activeConfig_.discovery = next.discovery;
  activeConfig_.relay = next.relay;
  if (includesSettings()) {
    log_.info("supervisor") << "configuration in force: " << config::describeVersion(next) << ", after "
                            << config::describeVersion(activeConfig_);
    activeConfig_.settings = next.settings;
    activeConfig_.settingsText = next.settingsText;
    activeConfig_.version = next.version;
    activeConfig_.contentHash = next.contentHash;
  }
  callbacks_.apply(activeConfig_);
}

void ConfigReload::warnOfRestartFields(const config::Config& next) {
  for (const std::string& field : config::fieldsNeedingRestart(activeConfig_, next)) {
    if (includesSettings() && field == "settings") continue;
    log_.warn("supervisor") << "new configuration: '" << field << "' takes effect at a restart only";
  }
}

}  // namespace peargrade::supervisor
