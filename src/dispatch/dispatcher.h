// The only place where the client side and the server side meet: events go in, the supervisor's actions come
// out, and it is known here whether the supervisor can act. It knows no protocol and no socket.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dispatch {

class Dispatcher {
 public:
  // ---- Events, from either side to the supervisor ----
  void post(Event event) { events_.push_back(std::move(event)); }
  bool waiting() const { return !events_.empty(); }
  std::vector<Event> take() { return std::exchange(events_, {}); }

  // ---- Actions, from the supervisor to the server side ----
  using TableUpdate = std::vector<Action>;  // of one update, in order: SetRoute to AcknowledgementRequest
  enum class EndpointListRequest { Watch, Unwatch, Poll };
  void onTableUpdate(std::function<void(const TableUpdate&)> sink) { tableUpdateSink_ = std::move(sink); }
  void onEndpointListRequest(std::function<void(EndpointListRequest)> sink) {
    endpointListSink_ = std::move(sink);
  }
  // Hands each action to its sink. Returns those that have no way out here: probes and notes to peers.
  std::vector<Action> dispatch(const std::vector<Action>& actions);

  // ---- Readiness ----
  void relayConnected() { relay_ = true, tell(); }
  void endpointListKnown() { endpointListKnown_ = true, tell(); }
  void readinessTimedOut() {
    relay_ = endpointListKnown_ = true, tell();
  }  // a dead peer does not hold it up for long
  bool ready() const { return relay_ && endpointListKnown_; }
  void onReady(std::function<void()> told) { ready_ = std::move(told); }

 private:
  void tell();

  std::vector<Event> events_;  // emptied once a turn of the loop
  std::function<void(const TableUpdate&)> tableUpdateSink_;
  std::function<void(EndpointListRequest)> endpointListSink_;
  std::function<void()> ready_;
  bool relay_ = false, endpointListKnown_ = false;
};

}  // namespace peargrade::dispatch
