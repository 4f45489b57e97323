// Events and actions on their way between the protocols and the decision engine, without protocol or socket.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "peargrade/actions.h"
#include "peargrade/events.h"

namespace peargrade::dispatch {

/// The only place where the client side, the server side and the engine meet. One for each supervisor, used
/// on one thread.
class Dispatcher {
 public:
  /// The actions of one update of the proxies in their order: SetRoute to AcknowledgementRequest.
  using TableUpdate = std::vector<Action>;
  enum class EndpointListRequest { Watch, Unwatch, Poll };

  // ---- Events for the engine ----

  /// Queues an event for the next batch. Called by every package that speaks a protocol.
  void post(Event event) { events_.push_back(std::move(event)); }
  bool hasEvents() const { return !events_.empty(); }
  /// Takes the queued events, in the order they were posted.
  std::vector<Event> take() { return std::exchange(events_, {}); }

  // ---- Actions of the engine ----

  /// Receives each table update; nullptr: none does, and updates are dropped. Set by the relay client.
  void onTableUpdate(std::function<void(const TableUpdate&)> sink) { tableUpdateSink_ = std::move(sink); }
  /// Receives each request for the endpoint list; nullptr: none does. Set by discovery or the sources.
  void onEndpointListRequest(std::function<void(EndpointListRequest)> sink) {
    endpointListSink_ = std::move(sink);
  }
  /// Passes the actions of one batch to their sinks: requests for the endpoint list as they come, then all
  /// table actions as one update. Returns those without a sink, in their order.
  std::vector<Action> dispatch(const std::vector<Action>& actions);

  // ---- Readiness: whether the supervisor can act ----

  /// The watch of the relay is open.
  void relayConnected();
  /// The endpoint list has been received.
  void endpointListKnown();
  /// Neither is waited for any longer: an unavailable peer must not hold up readiness.
  void readinessTimedOut();
  bool ready() const { return relayConnected_ && endpointListKnown_; }
  /// Called once, when the supervisor becomes ready.
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
