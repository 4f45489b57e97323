// The decision engine of one supervisor: computes routes, admission ratios, retry policies and ejections from
// the events of its fleet. It performs no I/O, reads no clock and starts no threads. Codecs in src/wire,
// src/relay, src/clients and src/discovery translate between wire formats and its events and actions.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "peargrade/actions.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade {

/// Deterministic: identical seeds, settings and events give identical actions. Engines share no state. Not
/// thread-safe.
class DecisionEngine {
 public:
  /// `seed`: seeds the random numbers that break ties. Supervisors need different seeds, so that they do not
  /// all choose the same one of several equal servers.
  DecisionEngine(std::uint64_t seed, const Settings& settings);
  ~DecisionEngine();
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  /// Handles a batch of events that arrived at `now` and returns the resulting actions, in execution order.
  /// `now`: Unix time in microseconds; must not decrease from call to call. Events with unknown ids are
  /// ignored.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peargrade
