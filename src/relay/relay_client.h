// The supervisor's client of the relay: a watch of the store and the proxies, and calls that carry updates.
#pragma once

#include <cstdint>
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

/// Connects the two connections with the view of the store: what is sent, what the store shows of it, and
/// which calls of unknown outcome that confirms. Takes table updates from the dispatcher and posts events to
/// it.
class RelayClient {
 public:
  using Limits = relay::Limits;

  /// Connects the watch at once. `slices`: number of slices in the settings. `seed`: of the jitter of
  /// backoffs.
  RelayClient(event_base* base, const net::Address& address, const Names& names, int slices,
              std::uint64_t seed, dispatch::Dispatcher& dispatcher, log::Log& log, const Limits& limits);
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  /// The relay is at another address from now on. The present connections serve until the watch has been
  /// answered there.
  void moveTo(const net::Address& address);
  /// A call awaits its reply, or commands are pending that can still be sent.
  bool busy() const;
  const UpdateCalls::Counts& counts() const { return calls_.calls().counts(); }

 private:
  void sendUpdate(const dispatch::Dispatcher::TableUpdate& update);
  void onWatchOpened();
  void reportMissedAcknowledgements();
  void onWatchLine(const std::string& line);
  void onWatchEvent(const WatchEvent& event);
  void onUnreadableAcknowledgement(const std::string& error);

  const Names& names_;
  const int slices_;
  const Limits limits_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  StoreView view_;
  EventBatch batch_;
  std::uint64_t unreadableAcknowledgements_ = 0;
  /// A watch was open before.
  bool hasWatched_ = false;
  CallConnection calls_;
  WatchConnection watch_;
};

}  // namespace peargrade::relay
