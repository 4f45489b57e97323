// The decision engine: turns what one supervisor learns of its fleet into routes, admission ratios, retry
// policies and ejections. It knows no wire format, no socket, no clock and no thread; codecs (src/wire,
// src/relay, src/clients, src/discovery) translate to and from its events and actions.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "peargrade/actions.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade {

/// The decisions of one supervisor. Identical seeds, settings and events give identical actions; nothing is
/// shared between engines. Not thread-safe.
class DecisionEngine {
 public:
  /// `seed` breaks ties, so that supervisors with different seeds choose differently among equals.
  DecisionEngine(std::uint64_t seed, const Settings& settings);
  ~DecisionEngine();
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  /// Takes in `events`, all of which happened at `now` (Unix time in microseconds, never decreasing), and
  /// returns what has to be done, in order. Events with unknown ids are ignored.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peargrade
