// Passes events from the protocol packages to the decision engine, and the engine's actions back to them.
// Knows no protocol and does no I/O.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "peargrade/actions.h"
#include "peargrade/events.h"

namespace peargrade::dispatch {

/// The only connection between the client side (collectors, discovery), the server side (relay) and the
/// engine. Each supervisor has one. Not thread-safe: used on the thread of the event loop only.
class Dispatcher {
 public:
  /// One update of the proxies' routing tables: actions of the types SetRoute, ClearTable, SetEjection,
  /// SetAdmission and AcknowledgementRequest, in the order in which the engine returned them.
  using TableUpdate = std::vector<Action>;
  enum class EndpointListRequest { Watch, Unwatch, Poll };

  // ---- Events for the engine ----

  /// Queues an event for the next batch.
  void post(Event event) { events_.push_back(std::move(event)); }
  bool hasEvents() const { return !events_.empty(); }
  /// Removes the queued events and returns them in the order they were posted.
  std::vector<Event> take() { return std::exchange(events_, {}); }

  // ---- Actions of the engine ----

  /// Sets the receiver of table updates. Without one (nullptr) updates are dropped. Set by the relay client.
  void onTableUpdate(std::function<void(const TableUpdate&)> sink) { tableUpdateSink_ = std::move(sink); }
  /// Sets the receiver of requests for the endpoint list. Without one (nullptr) requests are dropped. Set by
  /// discovery or the sources.
  void onEndpointListRequest(std::function<void(EndpointListRequest)> sink) {
    endpointListSink_ = std::move(sink);
  }
  /// Passes the actions of one batch to their receivers: each request for the endpoint list in turn, then all
  /// table actions as one update. Returns the actions of all other types, in their order.
  std::vector<Action> dispatch(const std::vector<Action>& actions);

  // ---- Readiness: the relay is connected and the endpoint list is known ----

  /// Reports that the watch of the relay is open.
  void relayConnected();
  /// Reports that the endpoint list has been received.
  void endpointListKnown();
  /// Makes the supervisor ready without either of them, so that an unavailable peer does not delay readiness
  /// indefinitely.
  void readinessTimedOut();
  bool ready() const { return relayConnected_ && endpointListKnown_; }
  /// Sets the function that is called once, when the supervisor becomes ready.
  void onReady(std::function<void()> sink) { readySink_ = std::move(sink); }

 private:
  bool dispatchEndpointListAction(const Action& action) const;
  void notifyIfReady();

  std::vector<Event> events_;
  std::function<void(const TableUpdate&)> tableUpdateSink_;
  std::function<void(EndpointListRequest)> endpointListSink_;
  std::function<void()> readySink_;
  bool relayConnected_ = false;
  bool endpointListKnown_ = false;
};

}  // namespace peargrade::dispatch
