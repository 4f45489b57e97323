// Takes over a new configuration while the supervisor runs, as SIGHUP asks.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade::supervisor {

/// What of a new configuration a running supervisor takes over; the rest needs a restart.
enum class ReloadScope { Addresses, AddressesAndSettings };

/// A file is taken over as a whole, as far as the scope goes, or not at all: whatever is wrong with it, the
/// configuration in force stays. A file that cannot be read may be half written, so it is read again, with
/// backoff, a few times.
class ConfigReload {
 public:
  struct Callbacks {
    /// Reads the configuration anew. May throw ParseError.
    std::function<config::Config()> load;
    /// Takes over the configuration that is in force from now on. Called once for each accepted file.
    std::function<void(const config::Config&)> apply;
  };

  /// `inForce`: the configuration of the start.
  ConfigReload(event_base* base, config::Config inForce, Callbacks callbacks, log::Log& log,
               ReloadScope scope = ReloadScope::Addresses);

  /// SIGHUP has come: reads the file as it is now. Replaces a reload that is under way.
  void request();

 private:
  /// Idle -> FirstAttempt (request) -> Idle (accepted or rejected) or RetryPending (unreadable);
  /// RetryPending -> Idle (accepted, rejected or given up) or RetryPending (unreadable);
  /// any -> FirstAttempt (request).
  enum class State { Idle, FirstAttempt, RetryPending };

  static constexpr Micros kRetryDelayMin = 50000;
  /// The delay doubles up to this: five retries, 1.55 s in all.
  static constexpr Micros kRetryDelayMax = 800000;

  void attempt();
  void onUnreadable(const std::string& problem);
  void onLoaded(const config::Config& next);
  /// Whether `next` may not be taken over; logs why.
  bool rejects(const config::Config& next);
  void accept(const config::Config& next);
  void warnOfRestartFields(const config::Config& next);
  void logUnreadable(const std::string& problem);
  bool includesSettings() const { return scope_ == ReloadScope::AddressesAndSettings; }

  config::Config inForce_;
  const Callbacks callbacks_;
  log::Log& log_;
  const ReloadScope scope_;
  State state_ = State::Idle;
  Micros retryDelay_ = kRetryDelayMin;
  net::Timer retryTimer_;
};

}  // namespace peargrade::supervisor
