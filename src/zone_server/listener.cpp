#include "zone_server/listener.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <tuple>
#include <utility>
#include <vector>

namespace peargrade::zone_server {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr std::size_t kLengthBytes = 2;  // prefix of a message on a stream
// Requests that wait, of all senders together, over streams and over datagrams each.
constexpr std::size_t kRequestsMax = 4096;
constexpr std::size_t kRequestBytesMax = std::size_t{4} << 20;
// Of one connection. What it sends beyond that stays unread.
constexpr std::size_t kStreamRequestsMax = 16;
constexpr std::size_t kStreamRequestBytesMax = 64 << 10;
// Of one sender of datagrams. What it sends beyond that is dropped.
constexpr std::size_t kDatagramsMax = 1024;
constexpr std::size_t kDatagramBytesMax = std::size_t{1} << 20;
// The kernel limits it to its own maximum.
constexpr int kDatagramBufferBytes = 1 << 20;
constexpr Micros kMakeRoomInterval = 10000;   // while the limit of connections is reached
constexpr Micros kDropLogInterval = 1000000;  // between two log lines on dropped datagrams
constexpr int kUnreadInputChecksMax = 32;     // each is a system call

std::string formatAddress(const sockaddr_in& at) {
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(at.sin_port));
}

std::size_t messageBytes(const std::string& input) {
  const auto byte = [&](std::size_t k) {
    return static_cast<std::size_t>(static_cast<unsigned char>(input[k]));
  };
  return byte(0) << 8 | byte(1);
}

}  // namespace

Listener::Peer::Peer(Listener& owner, std::uint64_t number)
    : number(number),
      source(std::to_string(number)),
      idle(owner.base_, [this, &owner] { owner.closeConnection(*this, log::CloseReason::Silent, ""); }) {}

Listener::Listener(event_base* base, const net::Address& at, OnMessage onMessage, log::Log& log,
                   Limits limits)
    : base_(base),
      onMessage_(std::move(onMessage)),
      log_(log),
      limits_(limits),
      streamRequests_({kStreamRequestsMax, kStreamRequestBytesMax, kRequestsMax, kRequestBytesMax}),
      datagramRequests_({kDatagramsMax, kDatagramBytesMax, kRequestsMax, kRequestBytesMax}),
      datagram_(kMaxDatagramBytes, '\0'),
      makeRoomTimer_(base, [this] { makeRoom(); }),
      work_(base, [this] { processRequests(); }),
      cleaner_(base, [this] {
        for (auto peer = peers_.begin(); peer != peers_.end();)
          peer = peer->second->closed ? peers_.erase(peer) : std::next(peer);
      }) {
  net::Listener::Handlers handlers;
  handlers.accepted = [this](evutil_socket_t fd, const std::string& name) { accept(fd, name); };
  handlers.failed = [this](const std::string& error) {
    log_.error("zones") << "cannot accept a connection: " << error;
  };
  tcp_ = std::make_unique<net::Listener>(base, at, limits_.acceptsPerTurn, std::move(handlers));
  tcp_->limitReceiveBuffer(limits_.receiveBufferBytes);
  openDatagramSocket();
}

Listener::~Listener() {
  for (auto& [number, peer] : peers_) {
    if (!peer->closed) log_.ended("zones", peer->name, log::CloseReason::Stopping, "");
  }
  readable_.reset();
  close(udp_);
}

void Listener::openDatagramSocket() {
  sockaddr_in own = tcp_->address().socket();
  udp_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (udp_ < 0 || bind(udp_, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0) {
    const std::string why = std::strerror(errno);
    if (udp_ >= 0) close(udp_);
    throw std::runtime_error("cannot listen for updates over UDP on " + address().text() + ": " + why);
  }
  setsockopt(udp_, SOL_SOCKET, SO_RCVBUF, &kDatagramBufferBytes, sizeof kDatagramBufferBytes);
  const auto ready = [](evutil_socket_t, short, void* self) {
    static_cast<Listener*>(self)->readDatagrams();
  };
  readable_.reset(event_new(base_, udp_, EV_READ | EV_PERSIST, ready, this));
  event_add(readable_.get(), nullptr);
}

// ---- Connections ----

std::size_t Listener::connections() const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [](const auto& entry) { return !entry.second->closed; }));
}

bool Listener::isEvictable(const Peer& peer, Micros now) const {
  if (peer.closed) return false;
  return now - peer.acceptedAt >= limits_.busyGrace ||
         (!peer.paused && now - peer.lastActivity >= limits_.idleGrace);
}

// The connection that has been idle for longest. Unread bytes may be a request, so connections without any
// come first.
Listener::Peer* Listener::evictionCandidate() {
  const Micros now = net::steadyNow();
  std::vector<Peer*> evictable;
  for (auto& [number, peer] : peers_) {
    if (isEvictable(*peer, now)) evictable.push_back(peer.get());
  }
  if (evictable.empty()) return nullptr;
  std::sort(evictable.begin(), evictable.end(), [](const Peer* left, const Peer* right) {
    return std::tie(left->lastActivity, left->number) < std::tie(right->lastActivity, right->number);
  });
  int checks = 0;
  for (Peer* peer : evictable) {
    if (++checks > kUnreadInputChecksMax) break;
    if (peer->stream->waiting() != net::Stream::Waiting::Bytes) return peer;
  }
  return evictable.front();
}

void Listener::accept(evutil_socket_t fd, const std::string& name) {
  const Micros now = net::steadyNow();
  const std::uint64_t number = nextNumber_++;
  auto owned = std::make_unique<Peer>(*this, number);
  Peer& peer = *owned;
  peer.name = name;
  peer.acceptedAt = now;
  peer.lastActivity = now;
  net::Stream::Handlers handlers;
  handlers.data = [this, &peer](evbuffer* input) { onData(peer, input); };
  handlers.end = [this, &peer](log::CloseReason reason, const std::string& detail) {
    closeConnection(peer, reason, detail);
  };
  peer.stream = std::make_unique<net::Stream>(base_, fd, std::move(handlers));
  peer.idle.schedule(limits_.idleTimeout);
  peers_[number] = std::move(owned);
  if (connections() >= limits_.maxConnections) makeRoom();
}

// At the limit, a connection is closed only if another one waits.
void Listener::makeRoom() {
  if (connections() >= limits_.maxConnections && tcp_->hasWaitingConnection()) {
    if (Peer* const evicted = evictionCandidate())
      closeConnection(*evicted, log::CloseReason::ConnectionLimit, "");
  }
  const bool isFull = connections() >= limits_.maxConnections;
  tcp_->setAccepting(!isFull);
  if (isFull) makeRoomTimer_.schedule(kMakeRoomInterval);
}

void Listener::closeConnection(Peer& peer, log::CloseReason reason, const std::string& detail) {
  if (peer.closed) return;
  peer.closed = true;
  peer.idle.cancel();
  peer.stream.reset();
  // Of a peer that has closed normally, the few requests in the queue are still processed.
  if (reason != log::CloseReason::PeerClosed) streamRequests_.forget(peer.source);
  inputBytes_ -= peer.input.size();
  peer.input.clear();
  log_.ended("zones", peer.name, reason, detail);
  cleaner_.schedule(0);
}

// ---- Receiving ----

void Listener::onData(Peer& peer, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t before = peer.input.size();
  peer.input.resize(before + size);
  evbuffer_remove(input, peer.input.data() + before, size);
  inputBytes_ += size;
  queueMessages(peer);
  limitInput();
}

bool Listener::hasMessage(const Peer& peer) {
  return peer.input.size() >= kLengthBytes && peer.input.size() >= kLengthBytes + messageBytes(peer.input);
}

void Listener::queueMessages(Peer& peer) {
  std::size_t used = 0;
  while (hasMessage(peer)) {
    const std::size_t size = messageBytes(peer.input);
    if (!streamRequests_.accepts(peer.source, size)) break;
    const std::weak_ptr<bool> alive = alive_;
    Request request{peer.input.substr(kLengthBytes, size), peer.name,
                    [this, alive, number = peer.number](const std::string& bytes) {
                      if (!alive.expired()) sendAnswer(number, bytes);
                    }};
    streamRequests_.push(peer.source, std::move(request));
    peer.input.erase(0, kLengthBytes + size);
    inputBytes_ -= kLengthBytes + size;
    ++used;
  }
  if (used > 0) {
    peer.lastActivity = net::steadyNow();
    peer.idle.schedule(limits_.idleTimeout);
  }
  const bool wasPaused = std::exchange(peer.paused, hasMessage(peer));
  if (peer.paused && !wasPaused) peer.stream->pauseReading();
  if (!peer.paused && wasPaused) peer.stream->resumeReading();
  if (!streamRequests_.empty()) work_.schedule(0);
}

void Listener::limitInput() {
  while (inputBytes_ > limits_.maxInputBytes) {
    const auto largest = std::max_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
      return a.second->input.size() < b.second->input.size();
    });
    closeConnection(*largest->second, log::CloseReason::ConnectionLimit,
                    "incomplete messages exceed the memory limit");
  }
}

void Listener::readDatagrams() {
  for (int k = 0; k < limits_.maxDatagramsPerTurn; ++k) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t received =
        recvfrom(udp_, datagram_.data(), datagram_.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) break;
    queueDatagram(datagram_.substr(0, static_cast<std::size_t>(received)), from);
  }
  if (!datagramRequests_.empty()) work_.schedule(0);
}

void Listener::queueDatagram(std::string message, const sockaddr_in& from) {
  const std::string peer = formatAddress(from);
  const std::weak_ptr<bool> alive = alive_;
  const auto reply = [this, alive, from](const std::string& answer) {
    if (alive.expired() || answer.empty()) return;
    const auto sent = sendto(udp_, answer.data(), answer.size(), MSG_DONTWAIT,
                             reinterpret_cast<const sockaddr*>(&from), sizeof from);
    static_cast<void>(sent);  // an unsent answer is like a lost datagram: the peer retransmits
  };
  if (datagramRequests_.push(peer, {std::move(message), peer, reply})) return;
  ++droppedDatagrams_;
  ++droppedNotYetLogged_;
  logDroppedDatagrams();
}

void Listener::logDroppedDatagrams() {
  const Micros now = net::steadyNow();
  if (dropsLoggedAt_ != 0 && now - dropsLoggedAt_ < kDropLogInterval) return;
  dropsLoggedAt_ = now;
  log_.warn("zones") << address().text() << ": " << std::exchange(droppedNotYetLogged_, 0)
                     << " datagrams dropped: senders exceed their share";
}

// ---- Processing ----

void Listener::processRequests() {
  const Micros end = net::steadyNow() + limits_.processingTime;
  for (int k = 0; k < limits_.maxRequestsPerTurn && net::steadyNow() < end; ++k) {
    if (!processNext()) break;
  }
  continuePausedPeers();
  if (waitingRequests() > 0) work_.schedule(0);
}

// Streams and datagrams take turns.
bool Listener::processNext() {
  isDatagramsTurn_ = !isDatagramsTurn_;
  RequestQueue& first = isDatagramsTurn_ ? datagramRequests_ : streamRequests_;
  RequestQueue& second = isDatagramsTurn_ ? streamRequests_ : datagramRequests_;
  auto request = first.pop();
  if (!request) request = second.pop();
  if (!request) return false;
  onMessage_(request->message, request->peer, std::move(request->reply));
  return true;
}

// A peer that has closed its side gets no further requests processed than those that were in the queue.
void Listener::continuePausedPeers() {
  for (auto& [number, peer] : peers_) {
    if (!peer->paused || peer->closed || streamRequests_.sizeOf(peer->source) > 0) continue;
    if (peer->stream->peerHasClosed())
      closeConnection(*peer, log::CloseReason::PeerClosed,
                      std::to_string(peer->input.size()) + " bytes of requests discarded");
    else
      queueMessages(*peer);
  }
}

void Listener::sendAnswer(std::uint64_t number, const std::string& bytes) {
  const auto at = peers_.find(number);
  if (at == peers_.end() || at->second->closed || bytes.empty()) return;
  Peer& peer = *at->second;
  if (peer.stream->unsent() + bytes.size() > limits_.maxUnsentBytes)
    return closeConnection(peer, log::CloseReason::SlowReader, "");
  peer.lastActivity = net::steadyNow();
  peer.stream->send(std::string{static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 255)} +
                    bytes);
}

}  // namespace peargrade::zone_server
