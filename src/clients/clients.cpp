#include "clients/clients.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace peargrade::clients {
namespace {

const std::string kHeartbeatAnswer = Framing::frame(R"({"type":"hb_ok"})");
constexpr int kHeartbeatsMost = 64;  // waiting on one connection until the supervisor can act

std::string nameOf(const sockaddr* from) {
  if (from == nullptr || from->sa_family != AF_INET) return "?";
  const auto* in = reinterpret_cast<const sockaddr_in*>(from);
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &in->sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(in->sin_port));
}

}  // namespace

Clients::Clients(event_base* base, const net::Address& address, const discovery::Names& names, int slices,
                 exchange::Exchange& exchange, log::Log& log, Limits limits)
    : base_(base),
      address_(address),
      names_(names),
      slices_(slices),
      exchange_(exchange),
      log_(log),
      limits_(limits),
      sweeper_(base, [this] { sweep(); }),
      resume_(base, [this] { evconnlistener_enable(listener_.get()); }) {
  sockaddr_in at = address.socket();
  listener_.reset(evconnlistener_new_bind(base, onAccept, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                          512, reinterpret_cast<sockaddr*>(&at), sizeof at));
  if (!listener_)
    throw std::runtime_error("cannot listen on " + address.text() + ": " + std::strerror(errno));
  evconnlistener_set_error_cb(listener_.get(), onAcceptError);
  socklen_t size = sizeof at;
  if (getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size) == 0)
    address_.port = ntohs(at.sin_port);
  exchange_.onReady([this] {
    for (auto peer = peers_.begin(); peer != peers_.end();) answer(peer++);
  });
  sweeper_.in(limits_.sweep);
}

Clients::~Clients() {
  while (!peers_.empty()) end(peers_.begin(), log::Reason::Stopping, "");
}

void Clients::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self) {
  static_cast<Clients*>(self)->accept(fd, nameOf(from));
}

// Guards against a spin when no descriptor is left: the queue of the socket keeps who comes meanwhile.
void Clients::onAcceptError(evconnlistener* listener, void* self) {
  auto* clients = static_cast<Clients*>(self);
  clients->log_.error("clients") << "cannot accept: " << std::strerror(EVUTIL_SOCKET_ERROR());
  evconnlistener_disable(listener);
  clients->resume_.in(100000);
}

void Clients::accept(evutil_socket_t fd, const std::string& name) {
  if (peers_.size() >= limits_.connections) makeRoom();
  peers_.emplace_back();
  const At peer = std::prev(peers_.end());
  peer->name = name;
  peer->heardAt = net::steadyNow();
  peer->stream = std::make_unique<net::Stream>(
      base_, fd,
      net::Stream::Handlers{
          nullptr, [this, peer](evbuffer* input) { onData(peer, input); },
          [this, peer](log::Reason reason, const std::string& detail) { end(peer, reason, detail); }});
}

// Strangers first, then whoever has been silent longest.
void Clients::makeRoom() {
  const auto longest = std::min_element(peers_.begin(), peers_.end(), [](const Peer& a, const Peer& b) {
    return a.known != b.known ? !a.known : a.heardAt < b.heardAt;
  });
  end(longest, log::Reason::Crowded, "too many connections");
}

void Clients::onData(At peer, evbuffer* input) {
  char piece[16384];
  std::string frame;
  while (evbuffer_get_length(input) > 0) {
    const int size = evbuffer_remove(input, piece, sizeof piece);
    if (size <= 0) break;
    peer->framing.add(piece, static_cast<std::size_t>(size));
    Framing::Next next;
    try {
      while ((next = peer->framing.next(frame)) == Framing::Next::Frame) {
        if (log_.shows(log::Level::Debug)) log_.debug("clients") << frame;
        if (!onMessage(peer, parseMessage(frame, names_, slices_))) return;
      }
    } catch (const wire::Malformed& e) {
      return end(peer, log::Reason::BadMessage, e.what());
    }
    peer->framing.compact();
    count(peer);
    if (next == Framing::Next::TooLong) return end(peer, log::Reason::BadLength, "frame over 1 MiB");
  }
  // Guards against many peers that each begin a long message: the one that holds most gives way.
  while (held_ > limits_.held) {
    const auto most = std::max_element(peers_.begin(), peers_.end(),
                                       [](const Peer& a, const Peer& b) { return a.counted < b.counted; });
    const bool self = most == peer;
    end(most, log::Reason::Crowded, "unfinished messages fill the memory");
    if (self) return;
  }
}

bool Clients::onMessage(At peer, const Message& message) {
  peer->heardAt = net::steadyNow();
  peer->known = true;
  if (std::holds_alternative<Heartbeat>(message)) {
    if (*peer->role == 's') peer->role = "prober";
    peer->heartbeats = std::min(peer->heartbeats + 1, kHeartbeatsMost);
    return answer(peer);
  }
  peer->role = "collector";
  if (const auto* report = std::get_if<ServerReport>(&message)) exchange_.post(*report);
  if (const auto* demand = std::get_if<SliceDemand>(&message)) exchange_.post(*demand);
  return true;
}

// Heartbeats are answered once the supervisor can act.
bool Clients::answer(At peer) {
  if (!exchange_.ready()) return true;
  for (; peer->heartbeats > 0; --peer->heartbeats) peer->stream->send(kHeartbeatAnswer);
  if (peer->stream->unsent() <= limits_.unsent) return true;
  end(peer, log::Reason::SlowReader, "does not read its answers");
  return false;
}

void Clients::count(At peer) {
  held_ += peer->framing.held() - peer->counted;
  peer->counted = peer->framing.held();
}

void Clients::end(At peer, log::Reason reason, const std::string& detail) {
  held_ -= peer->counted;
  log_.ended("clients", peer->name + " " + peer->role, reason, detail);
  peers_.erase(peer);
}

void Clients::sweep() {
  const Micros now = net::steadyNow();
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const At at = peer++;
    if (now - at->heardAt <= (at->known ? limits_.silence : limits_.stranger)) continue;
    end(at, at->known ? log::Reason::Silent : log::Reason::Stranger, "");
  }
  sweeper_.in(limits_.sweep);
}

}  // namespace peargrade::clients
