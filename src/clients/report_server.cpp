#include "clients/report_server.h"

#include <algorithm>
#include <utility>

namespace peargrade::clients {
namespace {

const std::string kHeartbeatReply = encodeFrame(R"({"type":"hb_ok"})");
const std::string kRejection = encodeFrame(R"({"type":"reject"})");

constexpr std::size_t kReadSize = 16384;  // bytes
// Heartbeats of one connection that are remembered until the supervisor is ready to answer them.
constexpr int kPendingHeartbeatsMax = 64;
// A sweep that runs this much later than scheduled means that the process was paused: 0.5 s.
constexpr Micros kProcessPause = 500000;
constexpr std::size_t kLoggedDetailMax = 200;  // characters
// Health checkers may hold one connection in four.
constexpr std::size_t kHealthCheckerFraction = 4;

}  // namespace

ReportServer::ReportServer(event_base* base, const net::Address& address, const discovery::Names& names,
                           int slices, dispatch::Dispatcher& dispatcher, log::Log& log, Limits limits,
                           std::function<Micros()> clock)
    : base_(base),
      names_(names),
      slices_(slices),
      dispatcher_(dispatcher),
      log_(log),
      limits_(limits),
      clock_(std::move(clock)),
      lingering_(limits.lingerDuration, limits.lingerBytes),
      discards_(log),
      listener_(base, address, limits.acceptsPerTurn,
                {[this](evutil_socket_t socket, const std::string& peer) { accept(socket, peer); },
                 [this](const std::string& error) {
                   log_.error("clients") << "cannot accept a connection: " << error;
                 }}),
      sweepTimer_(base, [this] { sweep(); }) {
  dispatcher_.onReady([this] {
    for (Iterator next = connections_.begin(); next != connections_.end();) answerHeartbeats(next++);
  });
  sweptAt_ = clock_();
  sweepTimer_.schedule(limits_.sweepInterval);
}

ReportServer::~ReportServer() {
  while (!connections_.empty()) end(connections_.begin(), log::CloseReason::Stopping, "");
}

void ReportServer::accept(evutil_socket_t socket, const std::string& peer) {
  while (connections_.size() + lingering_.size() >= limits_.connections && !lingering_.empty())
    lingering_.closeOldest();
  if (connections_.size() >= limits_.connections) makeRoom();
  const Iterator connection = connections_.add(peer, clock_());
  net::Stream::Handlers handlers;
  handlers.data = [this, connection](evbuffer* input) { onData(connection, input); };
  handlers.end = [this, connection](log::CloseReason reason, const std::string& detail) {
    end(connection, reason, detail);
  };
  connection->stream = std::make_unique<net::Stream>(base_, socket, std::move(handlers));
}

void ReportServer::makeRoom() {
  const Iterator evicted = connections_.evictionCandidate();
  const char* const detail = "too many connections";
  if (evicted->role == Role::Unidentified)
    reject(evicted, log::CloseReason::ConnectionLimit, detail);
  else
    end(evicted, log::CloseReason::ConnectionLimit, detail);
}

void ReportServer::onData(Iterator connection, evbuffer* input) {
  char bytes[kReadSize];
  while (evbuffer_get_length(input) > 0) {
    const int size = evbuffer_remove(input, bytes, sizeof bytes);
    if (size <= 0) break;
    connection->decoder.append(bytes, static_cast<std::size_t>(size));
    if (decodeFrames(connection) == Status::Closed) return;
  }
  enforceBufferLimit(connection);
}

ReportServer::Status ReportServer::decodeFrames(Iterator connection) {
  FrameDecoder& decoder = connection->decoder;
  std::string frame;
  FrameDecoder::Result result = decoder.next(frame);
  while (result == FrameDecoder::Result::Frame) {
    connection->messageStartedAt = 0;
    if (onFrame(connection, frame) == Status::Closed) return Status::Closed;
    result = decoder.next(frame);
  }
  decoder.releaseIfDrained();
  connections_.updateBufferedBytes(connection);
  const std::size_t length = decoder.announcedLength();
  if (result == FrameDecoder::Result::TooLong)
    return reject(connection, log::CloseReason::BadLength,
                  "message of " + std::to_string(length) + " bytes, limit " + std::to_string(kFrameBodyMax));
  // Joins and heartbeats are short. A longer message before joining is invalid; reject it before buffering
  // it.
  if (connection->role != Role::Collector && length > limits_.messageBytesBeforeJoin)
    return reject(connection, log::CloseReason::BadLength,
                  "message of " + std::to_string(length) + " bytes before joining, limit " +
                      std::to_string(limits_.messageBytesBeforeJoin));
  if (!decoder.hasPartialFrame())
    connection->messageStartedAt = 0;
  else if (connection->messageStartedAt == 0)
    connection->messageStartedAt = clock_();
  return Status::Open;
}

// The limit applies to collectors as well, because each may have an incomplete message of up to 1 MiB.
void ReportServer::enforceBufferLimit(Iterator current) {
  while (connections_.bufferedBytes() > limits_.incompleteMessageBytes) {
    const Iterator largest = connections_.largestBuffer();
    const bool isCurrent = largest == current;
    end(largest, log::CloseReason::ConnectionLimit, "incomplete messages exceed the memory limit");
    if (isCurrent) return;
  }
}

// An invalid message of a collector is discarded and its connection stays open. Several consecutive frames
// that are not JSON mean that the stream has lost its framing; the connection is then closed. A peer that has
// not joined is rejected after its first invalid message.
ReportServer::Status ReportServer::onFrame(Iterator connection, const std::string& frame) {
  if (log_.shows(log::Level::Debug)) log_.debug("clients") << frame;
  try {
    const Message message = parseMessage(frame, names_, slices_);
    connection->malformedFrames = 0;
    return onMessage(connection, message);
  } catch (const ParseError& error) {
    const bool isJson = error.code() != ParseErrorCode::InvalidJson;
    connection->malformedFrames = isJson ? 0 : connection->malformedFrames + 1;
    const bool framingLost = connection->malformedFrames >= limits_.consecutiveMalformedFrames;
    if (connection->role != Role::Collector || framingLost)
      return reject(connection, log::CloseReason::BadMessage, error.what());
    discards_.record(connection->peer, error.what(), clock_());
  }
  return Status::Open;
}

ReportServer::Status ReportServer::onMessage(Iterator connection, const Message& message) {
  connection->lastActivity = clock_();
  if (std::holds_alternative<Heartbeat>(message)) return onHeartbeat(connection);
  if (std::holds_alternative<CollectorJoin>(message)) {
    connection->role = Role::Collector;
    return Status::Open;
  }
  if (connection->role != Role::Collector)
    return reject(connection, log::CloseReason::NotJoined, "load report before joining");
  if (const auto* report = std::get_if<ServerLoadReport>(&message)) dispatcher_.post(*report);
  if (const auto* report = std::get_if<SliceLoadReport>(&message)) dispatcher_.post(*report);
  return Status::Open;
}

ReportServer::Status ReportServer::onHeartbeat(Iterator connection) {
  if (connection->role == Role::Unidentified) {
    connection->role = Role::HealthChecker;
    if (limitHealthCheckers(connection) == Status::Closed) return Status::Closed;
  }
  connection->pendingHeartbeats = std::min(connection->pendingHeartbeats + 1, kPendingHeartbeatsMax);
  return answerHeartbeats(connection);
}

// Without this limit, peers that send a heartbeat and stay connected could use up the connections that
// collectors need.
ReportServer::Status ReportServer::limitHealthCheckers(Iterator newest) {
  const std::size_t limit = std::max<std::size_t>(1, limits_.connections / kHealthCheckerFraction);
  if (connections_.count(Role::HealthChecker) <= limit) return Status::Open;
  const Iterator oldest = connections_.oldest(Role::HealthChecker);
  const bool isNewest = oldest == newest;
  end(oldest, log::CloseReason::ConnectionLimit, "too many health checkers");
  return isNewest ? Status::Closed : Status::Open;
}

// Heartbeats are answered only once the supervisor is ready, that is, able to act on load reports.
ReportServer::Status ReportServer::answerHeartbeats(Iterator connection) {
  if (!dispatcher_.ready()) return Status::Open;
  for (; connection->pendingHeartbeats > 0; --connection->pendingHeartbeats)
    connection->stream->send(kHeartbeatReply);
  if (connection->stream->unsent() <= limits_.unsentReplyBytes) return Status::Open;
  return end(connection, log::CloseReason::SlowReader,
             std::to_string(connection->stream->unsent()) + " bytes of replies unread, limit " +
                 std::to_string(limits_.unsentReplyBytes));
}

ReportServer::Status ReportServer::reject(Iterator connection, log::CloseReason reason,
                                          const std::string& detail) {
  std::unique_ptr<net::Stream> lingeringStream;
  // The protocol forbids writing to a collector.
  if (connection->role != Role::Collector) {
    connection->stream->send(kRejection);
    const bool allSent = connection->stream->halfClose();
    if (allSent && reason != log::CloseReason::ConnectionLimit)
      lingeringStream = std::move(connection->stream);
  }
  end(connection, reason, detail.substr(0, kLoggedDetailMax));
  if (lingeringStream) lingering_.add(std::move(lingeringStream), clock_());
  return Status::Closed;
}

ReportServer::Status ReportServer::end(Iterator connection, log::CloseReason reason,
                                       const std::string& detail) {
  log_.ended("clients", connection->peer + " " + roleName(connection->role), reason, detail);
  connections_.remove(connection);
  return Status::Closed;
}

void ReportServer::sweep() {
  const Micros now = clock_();
  sweepTimer_.schedule(limits_.sweepInterval);
  lingering_.closeExpired(now);
  // After a pause of this process, skip one sweep: input that arrived during the pause must be read before
  // the age limits apply.
  const Micros sinceLastSweep = now - std::exchange(sweptAt_, now);
  if (sinceLastSweep > limits_.sweepInterval + kProcessPause) return;
  for (Iterator next = connections_.begin(); next != connections_.end();) enforceAgeLimits(next++, now);
}

void ReportServer::enforceAgeLimits(Iterator connection, Micros now) {
  const Micros age = now - connection->acceptedAt;
  const bool hasIncompleteMessage = connection->messageStartedAt > 0;
  if (connection->role == Role::Unidentified && age > limits_.unidentifiedAge)
    reject(connection,
           hasIncompleteMessage ? log::CloseReason::IncompleteMessage : log::CloseReason::Unidentified, "");
  else if (connection->role == Role::HealthChecker && age > limits_.healthCheckerAge)
    end(connection, log::CloseReason::HeartbeatsOnly, "");
  else if (hasIncompleteMessage && now - connection->messageStartedAt > limits_.messageDuration)
    reject(connection, log::CloseReason::IncompleteMessage, "message not completed in time");
  else if (connection->role == Role::Collector && now - connection->lastActivity > limits_.collectorSilence)
    end(connection, log::CloseReason::Silent, "");
}

}  // namespace peargrade::clients
