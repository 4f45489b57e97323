// The connection that carries table updates to the relay as calls.
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

/// Connects when there is something to send, sends one call at a time, and posts the delivery of each update.
class CallConnection {
 public:
  struct Handlers {
    /// A call was sent.
    std::function<void(const Call&)> sent;
    /// The relay has accepted a command.
    std::function<void(const Command&)> accepted;
    /// Address of the open watch; nullptr: none is open.
    std::function<const net::Address*()> watchAddress;
  };

  /// `seed`: of the jitter of the backoff.
  CallConnection(event_base* base, const net::Address& address, const Limits& limits, std::uint64_t seed,
                 dispatch::Dispatcher& dispatcher, log::Log& log, Handlers handlers);
  ~CallConnection();
  CallConnection(const CallConnection&) = delete;
  CallConnection& operator=(const CallConnection&) = delete;

  /// Sends the commands of one update, as soon as the connection allows.
  void send(Commands update);
  /// Connections are made to this address from now on; the present one stays.
  void setAddress(const net::Address& address) { address_ = address; }
  /// Leaves a connection to another address than that of the open watch, once it awaits no reply.
  void leaveFormerAddress();
  /// A proxy that is connected has acknowledged an update.
  void onAcknowledged(int updateId) { calls_.onAcknowledged(updateId); }
  /// The store shows that a call was executed.
  void onCallShown(CallId call) { calls_.onCallShown(call); }
  /// Posts the delivery of the update if it is known to be complete.
  void reportConfirmedDelivery();

  const UpdateCalls& calls() const { return calls_; }

 private:
  void connect();
  void sendNextCall();
  bool leaveUnusableConnection();
  void reportDelivery();
  void onData(evbuffer* input);
  /// Whether the connection is still there.
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
  /// Of `stream_`.
  net::Address streamAddress_;
  /// `stream_` has brought a reply.
  bool streamHasReplied_ = false;
  net::LineSplitter replies_;
  UpdateCalls calls_;
  net::Backoff backoff_;
  net::Timer retryTimer_;
  net::IdleTimeout replyTimeout_;
};

}  // namespace peargrade::relay
