#include "relay/call_connection.h"

#include <string>
#include <utility>

namespace peargrade::relay {
namespace {

/// Longest prefix of a reply that a log line quotes, in bytes.
constexpr std::size_t kQuotedReplyBytesMax = 80;
/// Size of the CRLF that ends each line.
constexpr std::size_t kLineEndBytes = 2;

/// Detail of the log line for a reply that arrives while no call is in flight.
constexpr char kUnexpectedReply[] = "reply without a call in flight";
constexpr Micros kMicrosPerMillisecond = 1000;

}  // namespace

CallConnection::CallConnection(event_base* base, const net::Address& address, const Limits& limits,
                               std::uint64_t seed, dispatch::Dispatcher& dispatcher, log::Log& log,
                               Handlers handlers)
    : base_(base),
      address_(address),
      limits_(limits),
      dispatcher_(dispatcher),
      log_(log),
      handlers_(std::move(handlers)),
      replies_(limits.lineBytesMax),
      calls_(limits.pendingCommandsMax),
      backoff_(limits.reconnectDelayMin, limits.reconnectDelayMax, seed),
      retryTimer_(base, [this] { sendNextCall(); }),
      replyTimeout_(base, [this] {
        end(log::CloseReason::NoAnswer, "no reply to APPLY within " +
                                            std::to_string(limits_.replyTimeout / kMicrosPerMillisecond) +
                                            " ms");
      }) {
  calls_.onAccepted(handlers_.accepted);
  calls_.onSettled(handlers_.settled);
}

CallConnection::~CallConnection() {
  if (stream_) logEnd(log::CloseReason::Stopping, "");
}

void CallConnection::send(Commands update) {
  calls_.addUpdate(std::move(update));
  sendNextCall();
}

void CallConnection::reportDelivery() {
  if (calls_.hasDelivery()) dispatcher_.post(calls_.takeDelivery());
}

void CallConnection::reportConfirmedDelivery() {
  if (!calls_.undelivered()) reportDelivery();
}

void CallConnection::connect() {
  replies_ = net::LineSplitter(limits_.lineBytesMax);
  streamAddress_ = address_;
  streamHasReplied_ = false;
  stream_ = std::make_unique<net::Stream>(
      base_, address_, limits_.connectTimeout,
      net::Stream::Handlers{
          [this] { sendNextCall(); }, [this](evbuffer* input) { onData(input); },
          [this](log::CloseReason reason, const std::string& detail) { end(reason, detail); }});
}

void CallConnection::sendNextCall() {
  if (!calls_.needsConnection() || retryTimer_.isScheduled()) return;
  if (!stream_) return connect();
  if (!stream_->up()) return;
  // Report a failed delivery only once the relay is reachable again: the engine then builds the replacement
  // update from current state instead of from the state when the connection was lost.
  if (calls_.undelivered()) return reportDelivery();
  if (closeUnusableConnection()) return;
  const std::string call = calls_.beginCall();
  handlers_.sent(calls_.inFlight());
  if (log_.shows(log::Level::Debug)) log_.debug("relay") << call.substr(0, call.size() - kLineEndBytes);
  stream_->send(call);
  replyTimeout_.schedule(limits_.replyTimeout);
}

// A call written to a connection that the relay has just closed would have an unknown outcome. Unread bytes
// on an idle connection are an unexpected reply, which would be mistaken for the reply to the next call.
bool CallConnection::closeUnusableConnection() {
  const net::Stream::Waiting waiting = stream_->waiting();
  if (waiting == net::Stream::Waiting::Nothing) return false;
  stream_.reset();
  if (waiting == net::Stream::Waiting::Bytes)
    logEnd(log::CloseReason::BadAnswer, kUnexpectedReply);
  else
    logEnd(log::CloseReason::IdleClosed, "");
  retryTimer_.schedule(streamHasReplied_ ? 0 : backoff_.next());
  return true;
}

void CallConnection::closeIfMoved() {
  if (!stream_ || calls_.awaitingReply()) return;
  const net::Address* const watchAddress = handlers_.watchAddress();
  if (watchAddress == nullptr || streamAddress_.text() == watchAddress->text()) return;
  stream_.reset();
  logEnd(log::CloseReason::Moved, "to " + watchAddress->text());
  sendNextCall();
}

void CallConnection::onData(evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  replies_.add(bytes.data(), bytes.size());
  std::string line;
  while (replies_.next(line)) {
    if (!onReply(line)) return;
  }
  if (replies_.tooLong())
    return end(log::CloseReason::TooLong, "reply exceeds " + std::to_string(limits_.lineBytesMax) + " bytes");
  closeIfMoved();
  sendNextCall();
}

bool CallConnection::onReply(const std::string& line) {
  if (!calls_.awaitingReply()) {
    end(log::CloseReason::BadAnswer, kUnexpectedReply);
    return false;
  }
  replyTimeout_.cancel();
  streamHasReplied_ = true;
  const std::string quoted = line.substr(0, kQuotedReplyBytesMax);
  if (log_.shows(log::Level::Debug)) log_.debug("relay") << "reply " << quoted;
  switch (calls_.onReply(line)) {
    case CallResult::Accepted:
      backoff_.reset();
      reportDelivery();
      return true;
    case CallResult::PartiallyAccepted:
      log_.warn("relay") << "relay rejected a command, retrying it once: " << calls_.rejectedCommand();
      return true;
    case CallResult::Dropped:
      log_.warn("relay") << "relay rejected a command twice, dropping it: " << calls_.rejectedCommand();
      return true;
    case CallResult::Throttled:
      retryTimer_.schedule(limits_.throttledDelay);
      return true;
    case CallResult::Invalid:
      log_.error("relay")
          << "relay rejected calls as 'invalid' repeatedly; dropping the update that begins with: "
          << calls_.rejectedCommand();
      reportDelivery();
      return true;
    case CallResult::Malformed:
      end(log::CloseReason::BadAnswer, "malformed reply to APPLY: '" + quoted + "'");
      return false;
  }
  return true;
}

void CallConnection::end(log::CloseReason reason, const std::string& detail) {
  if (!stream_) return;
  const bool wasUp = stream_->up();
  const bool outcomeUnknown = calls_.awaitingReply();
  stream_.reset();
  replyTimeout_.cancel();
  if (reason == log::CloseReason::PeerClosed && !outcomeUnknown) reason = log::CloseReason::IdleClosed;
  calls_.onConnectionLost();
  logEnd(reason, outcomeUnknown ? detail + " [call outcome unknown]" : detail);
  if (!calls_.needsConnection()) return;
  if (wasUp && reason == log::CloseReason::IdleClosed) return sendNextCall();
  retryTimer_.schedule(backoff_.next());
}

void CallConnection::logEnd(log::CloseReason reason, const std::string& detail) {
  log_.ended("relay", streamAddress_.text() + " calls", reason, detail);
}

}  // namespace peargrade::relay
