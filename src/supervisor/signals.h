// Signal handling of a supervisor process.
#pragma once

#include <array>
#include <functional>

#include "net/net.h"

namespace peargrade::supervisor {

/// Handles SIGTERM, SIGINT, SIGHUP and SIGUSR1 on the event loop. The signals are blocked from the start of
/// the program until the handlers are installed, and again from their removal until the exit, so that the
/// default action of a signal never terminates the process.
class Signals {
 public:
  /// Blocks the signals, so that they stay pending until the handlers are installed. Called at the start of
  /// the program.
  static void block();

  /// Installs the handlers and unblocks the signals, including pending ones. The handlers run on the event
  /// loop until this object is destroyed.
  explicit Signals(event_base* base);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

  /// Whether SIGTERM or SIGINT was received.
  bool stopping() const { return stopping_; }
  /// Sets the handler of SIGHUP; without one the signal is ignored.
  void onReload(std::function<void()> handler) { reload_ = std::move(handler); }
  /// Sets the handler of SIGUSR1; without one the signal is ignored.
  void onExplain(std::function<void()> handler) { explain_ = std::move(handler); }

 private:
  static constexpr std::size_t kSignalCount = 4;

  static void onSignal(evutil_socket_t number, short, void* self);
  void handle(int number);

  bool stopping_ = false;
  std::function<void()> reload_;
  std::function<void()> explain_;
  std::array<net::EventHandle, kSignalCount> handles_;
};

}  // namespace peargrade::supervisor
