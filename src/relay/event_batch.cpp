#include "relay/event_batch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peargrade::relay {

EventBatch::EventBatch(event_base* base, Micros delay, Micros delayMax, std::size_t eventsMax,
                       dispatch::Dispatcher& dispatcher)
    : delay_(delay),
      delayMax_(delayMax),
      eventsMax_(eventsMax),
      dispatcher_(dispatcher),
      flushTimer_(base, [this] { flush(); }) {}

void EventBatch::add(std::vector<Event> events, Continuation continuation) {
  if (events.empty()) return;
  const Micros now = net::steadyNow();
  if (events_.empty()) startedAt_ = now;
  std::move(events.begin(), events.end(), std::back_inserter(events_));
  if (events_.size() >= eventsMax_) return flush();
  if (continuation == Continuation::MoreMayFollow) {
    flushTimer_.schedule(std::min(delay_, startedAt_ + delayMax_ - now));
  } else if (!flushTimer_.isScheduled()) {
    flush();
  }
}

void EventBatch::flush() {
  flushTimer_.cancel();
  for (Event& event : events_) dispatcher_.post(std::move(event));
  events_.clear();
}

}  // namespace peargrade::relay
