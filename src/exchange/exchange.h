// The only place where the client side and the server side meet: events go in, the supervisor's actions come
// out, and it is known here whether the supervisor can act. It knows no protocol and no socket.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::exchange {

class Exchange {
 public:
  // ---- Events, from either side to the supervisor ----
  void post(Event event) { events_.push_back(std::move(event)); }
  bool waiting() const { return !events_.empty(); }
  std::vector<Event> take() { return std::exchange(events_, {}); }

  // ---- Actions, from the supervisor to the server side ----
  using Orders = std::vector<Action>;  // of one reply, in sequence: SetRoute to Mark
  enum class ListCall { Watch, Unwatch, Fetch };
  void onOrders(std::function<void(const Orders&)> sink) { orders_ = std::move(sink); }
  void onListCall(std::function<void(ListCall)> sink) { list_ = std::move(sink); }
  // Hands each action to its sink. Returns those that have no way out here: probes and notes to peers.
  std::vector<Action> carry(const std::vector<Action>& actions);

  // ---- Readiness ----
  void relayUp() { relay_ = true, tell(); }
  void listKnown() { listKnown_ = true, tell(); }
  void waitedEnough() { relay_ = listKnown_ = true, tell(); }  // a dead peer does not hold it up for long
  bool ready() const { return relay_ && listKnown_; }
  void onReady(std::function<void()> told) { ready_ = std::move(told); }

 private:
  void tell();

  std::vector<Event> events_;  // emptied once a turn of the loop
  std::function<void(const Orders&)> orders_;
  std::function<void(ListCall)> list_;
  std::function<void()> ready_;
  bool relay_ = false, listKnown_ = false;
};

}  // namespace peargrade::exchange
