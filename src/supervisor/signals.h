// The signals of a supervisor process.
#pragma once

#include <array>
#include <functional>

#include "net/net.h"

namespace peargrade::supervisor {

/// Handles SIGTERM, SIGINT, SIGHUP and SIGUSR1 in the loop. They are blocked from the first line of the
/// program until they can be handled, and again from the last turn to the exit, so that none ends the process
/// by its default action.
class Signals {
 public:
  /// Blocks the signals; those that come meanwhile are pending. Called at the start of the program.
  static void block();

  /// Handles pending signals and later ones, in the loop, until destroyed.
  explicit Signals(event_base* base);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

  /// Whether SIGTERM or SIGINT has come.
  bool stopping() const { return stopping_; }
  /// Handles SIGHUP; without a handler it is ignored.
  void onReload(std::function<void()> handler) { reload_ = std::move(handler); }
  /// Handles SIGUSR1; without a handler it is ignored.
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
