// The supervisor's client of the relay: a watch that follows the store and the proxies, and APPLY calls that
// send updates.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/net.h"
#include "relay/call_connection.h"
#include "relay/event_batch.h"
#include "relay/limits.h"
#include "relay/store_view.h"
#include "relay/watch_connection.h"

namespace peargrade::relay {

/// Owns the watch connection, the call connection and the view of the store. Receives table updates from the
/// dispatcher, posts watch events and delivery outcomes to it, and resolves calls of unknown outcome with
/// what the store and the proxies show of them.
class RelayClient {
 public:
  using Limits = relay::Limits;

  /// Starts connecting the watch. `slices` is the number of slices in the settings; `seed` initializes the
  /// jitter of the backoffs. `names`, `dispatcher` and `log` must outlive this object.
  RelayClient(event_base* base, const net::Address& address, const Names& names, int slices,
              std::uint64_t seed, dispatch::Dispatcher& dispatcher, log::Log& log, const Limits& limits);
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  /// Switches to another address of the relay. The open connections stay in use until a watch is open at the
  /// new address.
  void moveTo(const net::Address& address);
  /// Whether a call is in flight, or commands are pending that can still be sent.
  bool busy() const;
  const UpdateCalls::Counts& counts() const { return calls_.calls().counts(); }

 private:
  void sendUpdate(const dispatch::Dispatcher::TableUpdate& update);
  void onCallSent(const Call& call);
  void onCallSettled(const SettledCall& settled);
  void forgetOldCalls();
  CallId firstCallNotShown() const;
  void onWatchOpened();
  void reportMissedAcknowledgements();
  void onWatchLine(const std::string& line);
  void onWatchEvent(const WatchEvent& event);
  void onUnreadableAcknowledgement(const std::string& error);

  /// A call that the relay may still execute.
  struct RecentCall {
    CallId id;
    /// By net::steadyNow().
    Micros sentAt;
  };

  const Names& names_;
  const int slices_;
  const Limits limits_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  StoreView view_;
  EventBatch batch_;
  /// Calls sent within the reply timeout, in their order.
  std::deque<RecentCall> recentCalls_;
  std::uint64_t unreadableAcknowledgements_ = 0;
  /// Whether a watch has been open since the start.
  bool hasOpenedWatch_ = false;
  CallConnection calls_;
  WatchConnection watch_;
};

}  // namespace peargrade::relay
