// Batches the events of a watch, so that events of the same change are posted together.
#pragma once

#include <vector>

#include "dispatch/dispatcher.h"
#include "net/net.h"

namespace peargrade::relay {

/// Whether later lines of the watch may hold more events of the same change.
enum class Continuation { Complete, MoreMayFollow };

/// A slice and its routes arrive as separate lines. Batching saves decisions on a part of them; it does not
/// make them complete, because lines can be further apart than any delay. Events keep their order.
class EventBatch {
 public:
  /// Events are posted once none has been added for `delay` microseconds, and at the latest `delayMax`
  /// microseconds after the first one was added, or once there are `eventsMax`.
  EventBatch(event_base* base, Micros delay, Micros delayMax, std::size_t eventsMax,
             dispatch::Dispatcher& dispatcher);

  /// Adds the events of one line. Posts the batch at once if it is complete and no earlier line awaits
  /// others.
  void add(std::vector<Event> events, Continuation continuation);
  /// Posts all held events now.
  void flush();

 private:
  const Micros delay_;
  const Micros delayMax_;
  const std::size_t eventsMax_;
  dispatch::Dispatcher& dispatcher_;
  std::vector<Event> events_;
  /// When the first of `events_` was added, by net::steadyNow().
  Micros startedAt_ = 0;
  net::Timer flushTimer_;
};

}  // namespace peargrade::relay
