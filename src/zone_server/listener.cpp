#include "zone_server/listener.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace peargrade::zone_server {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;

std::string formatAddress(const sockaddr_in& at) {
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(at.sin_port));
}

}  // namespace

Listener::Peer::Peer(Listener& owner, std::uint64_t number)
    : number(number),
      idle(owner.base_, [this, &owner] { owner.closeConnection(*this, log::CloseReason::Silent, ""); }) {}

Listener::Listener(event_base* base, const net::Address& at, OnMessage onMessage, log::Log& log,
                   Limits limits)
    : base_(base),
      address_(at),
      onMessage_(std::move(onMessage)),
      log_(log),
      limits_(limits),
      cleaner_(base, [this] {
        for (auto peer = peers_.begin(); peer != peers_.end();)
          peer = peer->second->closed ? peers_.erase(peer) : std::next(peer);
      }) {
  sockaddr_in own = at.socket();
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self) {
    static_cast<Listener*>(self)->accept(fd, formatAddress(*reinterpret_cast<sockaddr_in*>(from)));
  };
  tcp_.reset(evconnlistener_new_bind(base, accepted, this,
                                     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
                                     reinterpret_cast<sockaddr*>(&own), sizeof own));
  if (!tcp_)
    throw std::runtime_error("cannot listen for updates on " + at.text() + ": " + std::strerror(errno));
  socklen_t size = sizeof own;
  getsockname(evconnlistener_get_fd(tcp_.get()), reinterpret_cast<sockaddr*>(&own), &size);
  address_.port = ntohs(own.sin_port);
  udp_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (udp_ < 0 || bind(udp_, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0) {
    const std::string why = std::strerror(errno);
    if (udp_ >= 0) close(udp_);
    throw std::runtime_error("cannot listen for updates over UDP on " + address_.text() + ": " + why);
  }
  const auto ready = [](evutil_socket_t, short, void* self) { static_cast<Listener*>(self)->onDatagrams(); };
  readable_.reset(event_new(base, udp_, EV_READ | EV_PERSIST, ready, this));
  event_add(readable_.get(), nullptr);
}

Listener::~Listener() {
  for (auto& [number, peer] : peers_) {
    if (!peer->closed) log_.ended("zones", peer->name, log::CloseReason::Stopping, "");
  }
  readable_.reset();
  close(udp_);
}

void Listener::onDatagrams() {
  std::string bytes;
  for (int k = 0; k < limits_.maxDatagramsPerTurn; ++k) {
    bytes.resize(kMaxDatagramBytes);
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t received =
        recvfrom(udp_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) return;
    bytes.resize(static_cast<std::size_t>(received));
    const std::weak_ptr<bool> alive = alive_;
    onMessage_(bytes, formatAddress(from), [this, alive, from](const std::string& answer) {
      if (alive.expired() || answer.empty()) return;
      const auto sent = sendto(udp_, answer.data(), answer.size(), MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&from), sizeof from);
      static_cast<void>(sent);  // an unsent answer is like a lost datagram: the peer retransmits
    });
  }
}

void Listener::accept(evutil_socket_t fd, const std::string& name) {
  if (peers_.size() >= limits_.maxConnections) {
    // Close the oldest connection.
    Peer* oldest = nullptr;
    for (auto& [number, peer] : peers_) {
      if (!peer->closed && (oldest == nullptr || number < oldest->number)) oldest = peer.get();
    }
    if (oldest != nullptr) closeConnection(*oldest, log::CloseReason::ConnectionLimit, "");
  }
  const std::uint64_t number = nextNumber_++;
  auto owned = std::make_unique<Peer>(*this, number);
  Peer& peer = *owned;
  peer.name = name;
  net::Stream::Handlers handlers;
  handlers.data = [this, &peer](evbuffer* input) { onData(peer, input); };
  handlers.end = [this, &peer](log::CloseReason reason, const std::string& detail) {
    closeConnection(peer, reason, detail);
  };
  peer.stream = std::make_unique<net::Stream>(base_, fd, std::move(handlers));
  peer.idle.schedule(limits_.idleTimeout);
  peers_[number] = std::move(owned);
}

void Listener::onData(Peer& peer, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input), had = peer.input.size();
  peer.input.resize(had + size);
  evbuffer_remove(input, peer.input.data() + had, size);
  while (!peer.closed && peer.input.size() >= 2) {
    const std::size_t messageBytes = static_cast<std::size_t>(static_cast<unsigned char>(peer.input[0]))
                                         << 8 |
                                     static_cast<unsigned char>(peer.input[1]);
    if (peer.input.size() < 2 + messageBytes) return;
    const std::string message = peer.input.substr(2, messageBytes);
    peer.input.erase(0, 2 + messageBytes);
    peer.idle.schedule(limits_.idleTimeout);
    const std::weak_ptr<bool> alive = alive_;
    onMessage_(message, peer.name, [this, alive, number = peer.number](const std::string& bytes) {
      if (!alive.expired()) sendAnswer(number, bytes);
    });
  }
}

void Listener::sendAnswer(std::uint64_t number, const std::string& bytes) {
  const auto at = peers_.find(number);
  if (at == peers_.end() || at->second->closed || bytes.empty()) return;
  Peer& peer = *at->second;
  if (peer.stream->unsent() + bytes.size() > limits_.maxUnsentBytes)
    return closeConnection(peer, log::CloseReason::SlowReader, "");
  peer.stream->send(std::string{static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 255)} +
                    bytes);
}

void Listener::closeConnection(Peer& peer, log::CloseReason reason, const std::string& detail) {
  if (peer.closed) return;
  peer.closed = true;
  peer.idle.cancel();
  peer.stream.reset();
  log_.ended("zones", peer.name, reason, detail);
  cleaner_.schedule(0);
}

}  // namespace peargrade::zone_server
