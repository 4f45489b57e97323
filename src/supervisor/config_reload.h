// Reloads the configuration of a running supervisor on SIGHUP.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::supervisor {

/// Which fields of a new configuration a reload applies; changes of all others need a restart.
enum class ReloadScope { Addresses, AddressesAndSettings };

/// Applies all fields of a new configuration file that are in scope, or none of them: if the file is invalid,
/// the active configuration stays. A file that cannot be read or parsed may be half written, so it is
/// read again a few times with backoff.
class ConfigReload {
 public:
  struct Callbacks {
    /// Reads the configuration file. May throw ParseError.
    std::function<config::Config()> load;
    /// Applies the new active configuration. Called once for each accepted file.
    std::function<void(const config::Config&)> apply;
  };

  /// `activeConfig` is the configuration that the supervisor was started with. `log` must outlive this
  /// object.
  ConfigReload(event_base* base, config::Config activeConfig, Callbacks callbacks, log::Log& log,
               ReloadScope scope = ReloadScope::Addresses);

  /// Starts a reload: reads the file at once. Replaces a reload that waits for a retry.
  void request();

 private:
  /// Progress of a reload. Transitions:
  /// Idle -> FirstAttempt (request) -> Idle (accepted or rejected) or RetryPending (unreadable);
  /// RetryPending -> Idle (accepted, rejected or given up) or RetryPending (unreadable);
  /// any -> FirstAttempt (request).
  enum class State { Idle, FirstAttempt, RetryPending };

  /// Delay before the first retry, in microseconds; it doubles with each retry.
  static constexpr Micros kRetryDelayMin = 50000;
  /// Longest delay before a retry, in microseconds. Allows five retries within 1.55 s.
  static constexpr Micros kRetryDelayMax = 800000;

  void attempt();
  void onUnreadable(const std::string& problem);
  void onLoaded(const config::Config& next);
  /// Checks `next` against the active configuration. Logs the reason and returns true if it is rejected.
  bool rejects(const config::Config& next);
  void accept(const config::Config& next);
  void warnOfRestartFields(const config::Config& next);
  void logUnreadable(const std::string& problem);
  bool includesSettings() const { return scope_ == ReloadScope::AddressesAndSettings; }

  config::Config activeConfig_;
  const Callbacks callbacks_;
  log::Log& log_;
  const ReloadScope scope_;
  State state_ = State::Idle;
  Micros retryDelay_ = kRetryDelayMin;
  net::Timer retryTimer_;
};

}  // namespace peargrade::supervisor
