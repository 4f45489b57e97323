// The connection over which routing table updates are sent to the relay, as APPLY calls.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/line_splitter.h"
#include "net/net.h"
#include "relay/limits.h"
#include "relay/update_calls.h"

namespace peargrade::relay {

/// Connects on demand, keeps at most one call in flight, and posts the delivery outcome of each update to the
/// dispatcher.
class CallConnection {
 public:
  struct Handlers {
    /// Called just before a call is written to the connection.
    std::function<void(const Call&)> sent;
    /// Called for each command that the relay has accepted, in the order of the call.
    std::function<void(const Command&)> accepted;
    /// Called when the outcome of a call is known, or known to be unknown, after its accepted commands.
    std::function<void(const SettledCall&)> settled;
    /// Returns the address of the open watch, or nullptr while no watch is open.
    std::function<const net::Address*()> watchAddress;
  };

  /// `dispatcher` and `log` must outlive this object. `seed` initializes the jitter of the reconnect backoff.
  CallConnection(event_base* base, const net::Address& address, const Limits& limits, std::uint64_t seed,
                 dispatch::Dispatcher& dispatcher, log::Log& log, Handlers handlers);
  ~CallConnection();
  CallConnection(const CallConnection&) = delete;
  CallConnection& operator=(const CallConnection&) = delete;

  /// Queues the commands of one update and sends them as soon as a connection is up and no call is in flight.
  void send(Commands update);
  /// Sets the address of later connections. An open connection stays open; see closeIfMoved().
  void setAddress(const net::Address& address) { address_ = address; }
  /// Closes the connection if its address differs from that of the open watch and no call is in flight.
  void closeIfMoved();
  /// Reports that a connected proxy has acknowledged an update.
  void onAcknowledged(int updateId) { calls_.onAcknowledged(updateId); }
  /// Reports that the relay's store contains the effect of a call.
  void onCallConfirmed(CallId call) { calls_.onCallConfirmed(call); }
  /// Posts the delivery of the update if the update is known to be completely delivered.
  void reportConfirmedDelivery();

  const UpdateCalls& calls() const { return calls_; }

 private:
  void connect();
  void sendNextCall();
  /// Closes a connection that has unread input or was closed by the relay. Returns whether it did.
  bool closeUnusableConnection();
  void reportDelivery();
  void onData(evbuffer* input);
  /// Handles one reply line. Returns whether the connection is still open.
  bool onReply(const std::string& line);
  void end(log::CloseReason reason, const std::string& detail);
  void logEnd(log::CloseReason reason, const std::string& detail);

  event_base* const base_;
  net::Address address_;
  const Limits limits_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  const Handlers handlers_;
  std::unique_ptr<net::Stream> stream_;
  /// Peer address of `stream_`.
  net::Address streamAddress_;
  /// Whether a reply was received on `stream_`.
  bool streamHasReplied_ = false;
  net::LineSplitter replies_;
  UpdateCalls calls_;
  net::Backoff backoff_;
  net::Timer retryTimer_;
  net::IdleTimeout replyTimeout_;
};

}  // namespace peargrade::relay
