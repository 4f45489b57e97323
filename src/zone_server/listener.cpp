#include "zone_server/listener.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace peargrade::zone_server {
namespace {

constexpr std::size_t kDatagram = 65536;

std::string textOf(const sockaddr_in& at) {
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(at.sin_port));
}

}  // namespace

Listener::Peer::Peer(Listener& owner, std::uint64_t number)
    : number(number), idle(owner.base_, [this, &owner] { owner.end(*this, log::CloseReason::Silent, ""); }) {}

Listener::Listener(event_base* base, const net::Address& at, Taken taken, log::Log& log, Limits limits)
    : base_(base), address_(at), taken_(std::move(taken)), log_(log), limits_(limits), cleaner_(base, [this] {
        for (auto peer = peers_.begin(); peer != peers_.end();)
          peer = peer->second->over ? peers_.erase(peer) : std::next(peer);
      }) {
  sockaddr_in own = at.socket();
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self) {
    static_cast<Listener*>(self)->accept(fd, textOf(*reinterpret_cast<sockaddr_in*>(from)));
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
    throw std::runtime_error("cannot take updates over UDP on " + address_.text() + ": " + why);
  }
  const auto ready = [](evutil_socket_t, short, void* self) { static_cast<Listener*>(self)->onDatagrams(); };
  readable_.reset(event_new(base, udp_, EV_READ | EV_PERSIST, ready, this));
  event_add(readable_.get(), nullptr);
}

Listener::~Listener() {
  for (auto& [number, peer] : peers_) {
    if (!peer->over) log_.ended("zones", peer->name, log::CloseReason::Stopping, "");
  }
  readable_.reset();
  close(udp_);
}

void Listener::onDatagrams() {
  std::string bytes;
  for (int k = 0; k < limits_.perTurn; ++k) {
    bytes.resize(kDatagram);
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(udp_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    bytes.resize(static_cast<std::size_t>(got));
    const std::weak_ptr<bool> alive = alive_;
    taken_(bytes, textOf(from), [this, alive, from](const std::string& answer) {
      if (alive.expired() || answer.empty()) return;
      const auto sent = sendto(udp_, answer.data(), answer.size(), MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&from), sizeof from);
      static_cast<void>(sent);  // lost, as datagrams are: the peer asks again
    });
  }
}

void Listener::accept(evutil_socket_t fd, const std::string& name) {
  if (peers_.size() >= limits_.connections) {
    // The one that has been quiet longest gives way.
    Peer* oldest = nullptr;
    for (auto& [number, peer] : peers_) {
      if (!peer->over && (oldest == nullptr || number < oldest->number)) oldest = peer.get();
    }
    if (oldest != nullptr) end(*oldest, log::CloseReason::ConnectionLimit, "");
  }
  const std::uint64_t number = next_++;
  auto owned = std::make_unique<Peer>(*this, number);
  Peer& peer = *owned;
  peer.name = name;
  net::Stream::Handlers handlers;
  handlers.data = [this, &peer](evbuffer* input) { onData(peer, input); };
  handlers.end = [this, &peer](log::CloseReason reason, const std::string& detail) {
    end(peer, reason, detail);
  };
  peer.stream = std::make_unique<net::Stream>(base_, fd, std::move(handlers));
  peer.idle.schedule(limits_.idle);
  peers_[number] = std::move(owned);
}

void Listener::onData(Peer& peer, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input), had = peer.input.size();
  peer.input.resize(had + size);
  evbuffer_remove(input, peer.input.data() + had, size);
  while (!peer.over && peer.input.size() >= 2) {
    const std::size_t due = static_cast<std::size_t>(static_cast<unsigned char>(peer.input[0])) << 8 |
                            static_cast<unsigned char>(peer.input[1]);
    if (peer.input.size() < 2 + due) return;
    const std::string message = peer.input.substr(2, due);
    peer.input.erase(0, 2 + due);
    peer.idle.schedule(limits_.idle);
    const std::weak_ptr<bool> alive = alive_;
    taken_(message, peer.name, [this, alive, number = peer.number](const std::string& bytes) {
      if (!alive.expired()) answer(number, bytes);
    });
  }
}

void Listener::answer(std::uint64_t number, const std::string& bytes) {
  const auto at = peers_.find(number);
  if (at == peers_.end() || at->second->over || bytes.empty()) return;
  Peer& peer = *at->second;
  if (peer.stream->unsent() + bytes.size() > limits_.unsent)
    return end(peer, log::CloseReason::SlowReader, "");
  peer.stream->send(std::string{static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 255)} +
                    bytes);
}

void Listener::end(Peer& peer, log::CloseReason reason, const std::string& detail) {
  if (peer.over) return;
  peer.over = true;
  peer.idle.cancel();
  peer.stream.reset();
  log_.ended("zones", peer.name, reason, detail);
  cleaner_.schedule(0);
}

}  // namespace peargrade::zone_server
