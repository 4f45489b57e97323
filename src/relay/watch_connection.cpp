#include "relay/watch_connection.h"

#include <string>
#include <utility>

#include "errors/parse_error.h"

namespace peargrade::relay {
namespace {

/// Longest prefix of an unexpected reply that a log line quotes, in bytes.
constexpr std::size_t kQuotedReplyBytesMax = 80;
constexpr Micros kMicrosPerMillisecond = 1000;

}  // namespace

WatchConnection::WatchConnection(event_base* base, const net::Address& address, const Limits& limits,
                                 std::uint64_t seed, log::Log& log, Handlers handlers)
    : base_(base),
      address_(address),
      limits_(limits),
      log_(log),
      handlers_(std::move(handlers)),
      backoff_(limits.reconnectDelayMin, limits.reconnectDelayMax, seed),
      reconnectTimer_(base, [this] { connect(); }) {
  connect();
}

WatchConnection::~WatchConnection() {
  if (open_) logEnd(*open_, log::CloseReason::Stopping, "");
  if (pending_) logEnd(*pending_, log::CloseReason::Stopping, "");
}

WatchConnection::Watch::Watch(WatchConnection& owner, const net::Address& at)
    : address(at),
      lines(owner.limits_.lineBytesMax),
      idleTimeout(owner.base_,
                  [this, &owner] {
                    owner.end(*this, log::CloseReason::Silent,
                              "no complete line within " +
                                  std::to_string(owner.limits_.watchIdleTimeout / kMicrosPerMillisecond) +
                                  " ms");
                  }),
      stream(std::make_unique<net::Stream>(
          owner.base_, at, owner.limits_.connectTimeout,
          net::Stream::Handlers{[this] { stream->send("WATCH\r\n"); },
                                [this, &owner](evbuffer* input) { owner.onData(*this, input); },
                                [this, &owner](log::CloseReason reason, const std::string& detail) {
                                  owner.end(*this, reason, detail);
                                }})) {
  idleTimeout.schedule(owner.limits_.watchIdleTimeout);
}

void WatchConnection::connect() { pending_ = std::make_unique<Watch>(*this, address_); }

void WatchConnection::moveTo(const net::Address& address) {
  if (address.text() == address_.text()) return;
  address_ = address;
  backoff_.reset();
  reconnectTimer_.cancel();
  if (pending_) logEnd(*pending_, log::CloseReason::Moved, "to " + address_.text());
  connect();
}

const net::Address* WatchConnection::openAddress() const { return open_ ? &open_->address : nullptr; }

void WatchConnection::onData(Watch& watch, evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  watch.lines.add(bytes.data(), bytes.size());
  std::string line;
  while (watch.lines.next(line)) {
    watch.idleTimeout.schedule(limits_.watchIdleTimeout);  // a partial line does not count
    const bool isOpen = &watch == open_.get();
    const bool stillOpen = isOpen ? onLine(watch, line) : onReply(watch, line);
    if (!stillOpen) return;
  }
  if (watch.lines.tooLong()) {
    end(watch, log::CloseReason::TooLong,
        "line of a watch exceeds " + std::to_string(limits_.lineBytesMax) + " bytes");
  }
}

bool WatchConnection::onReply(Watch& watch, const std::string& line) {
  if (line.compare(0, 2, "OK") != 0) {
    end(watch, log::CloseReason::BadAnswer,
        "expected 'OK' in reply to WATCH, found '" + line.substr(0, kQuotedReplyBytesMax) + "'");
    return false;
  }
  if (open_) logEnd(*open_, log::CloseReason::Moved, "to " + watch.address.text());
  open_ = std::move(pending_);
  openedAt_ = net::steadyNow();
  handlers_.opened();
  return true;
}

bool WatchConnection::onLine(Watch& watch, const std::string& line) {
  try {
    handlers_.line(line);
    return true;
  } catch (const ParseError& error) {
    end(watch, log::CloseReason::BadMessage, error.what());
    return false;
  }
}

void WatchConnection::end(Watch& watch, log::CloseReason reason, const std::string& detail) {
  handlers_.ending();
  logEnd(watch, reason, detail);
  const bool wasPending = &watch == pending_.get();
  retired_ = std::move(wasPending ? pending_ : open_);
  retired_->idleTimeout.cancel();
  retired_->stream.reset();
  if (!pending_) reconnectTimer_.schedule(backoff_.next());
}

void WatchConnection::logEnd(const Watch& watch, log::CloseReason reason, const std::string& detail) {
  log_.ended("relay", watch.address.text() + " watch", reason, detail);
}

}  // namespace peargrade::relay
