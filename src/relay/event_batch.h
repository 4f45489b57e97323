// Collects the events of a watch and posts those that belong together at once.
#pragma once

#include <vector>

#include "dispatch/dispatcher.h"
#include "net/net.h"

namespace peargrade::relay {

/// Whether events that belong to the same change may follow in later lines.
enum class Continuation { Complete, MoreMayFollow };

/// A slice and its routes come as separate lines. The engine must see them in one batch: a slice whose routes
/// are still on their way looks like one without a table. Events keep their order.
class EventBatch {
 public:
  /// `delay`: events are posted once no more have come for so long; `delayMax`: but no later than this after
  /// the first.
  EventBatch(event_base* base, Micros delay, Micros delayMax, dispatch::Dispatcher& dispatcher);

  void add(std::vector<Event> events, Continuation continuation);
  /// Posts what is held.
  void flush();

 private:
  const Micros delay_;
  const Micros delayMax_;
  dispatch::Dispatcher& dispatcher_;
  std::vector<Event> events_;
  /// When the first of `events_` came, on the steady clock.
  Micros startedAt_ = 0;
  net::Timer flushTimer_;
};

}  // namespace peargrade::relay
