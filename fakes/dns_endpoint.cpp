#include "fakes/dns_endpoint.h"

#include <unistd.h>

#include <iterator>
#include <stdexcept>
#include <utility>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

constexpr std::size_t kMaxDatagramBytes = 4096;  // of a query
constexpr std::size_t kLengthBytes = 2;          // before each message over TCP
constexpr int kPortAttempts = 64;                // to find a port that is free for both transports

std::size_t lengthAt(const std::string& input) {
  return static_cast<std::size_t>(static_cast<unsigned char>(input[0])) << 8 |
         static_cast<unsigned char>(input[1]);
}

}  // namespace

std::string bigEndian16(unsigned value) {
  return {static_cast<char>(value >> 8), static_cast<char>(value & 255)};
}

std::string framedForTcp(const std::string& message) {
  return bigEndian16(static_cast<unsigned>(message.size())) + message;
}

DnsEndpoint::DnsEndpoint(event_base* base, const net::Address& address, Handlers handlers)
    : base_(base), address_(address), handlers_(std::move(handlers)) {
  open();
}

DnsEndpoint::~DnsEndpoint() { close(); }

// The system chooses the TCP port, and UDP is bound to the same one. Another program may already use that
// port for UDP; then the next attempt gets another port.
void DnsEndpoint::open() {
  if (udp_ >= 0) return;
  const std::uint16_t requestedPort = address_.port;
  bool bound = false;
  for (int attempt = 0; attempt < kPortAttempts && !bound; ++attempt) {
    sockaddr_in at = address_.socket();
    at.sin_port = htons(requestedPort);
    listen(at);
    address_.port = ntohs(at.sin_port);
    bound = bindDatagrams(at);
  }
  if (!bound)
    throw std::runtime_error("fake DNS server: found no port free for both UDP and TCP on " + address_.host);
  readable_.reset(event_new(
      base_, udp_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<DnsEndpoint*>(self)->onDatagrams(); }, this));
  event_add(readable_.get(), nullptr);
}

void DnsEndpoint::listen(sockaddr_in& at) {
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<DnsEndpoint*>(self)->accept(fd);
  };
  listener_.reset(evconnlistener_new_bind(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                          -1, reinterpret_cast<sockaddr*>(&at), sizeof at));
  if (!listener_) throw std::runtime_error("fake DNS server: cannot listen on " + address_.text());
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
}

bool DnsEndpoint::bindDatagrams(const sockaddr_in& at) {
  udp_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  if (bind(udp_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return true;
  ::close(udp_);
  udp_ = -1;
  return false;
}

void DnsEndpoint::close() {
  if (udp_ < 0) return;
  readable_.reset();
  listener_.reset();
  connections_.clear();
  ::close(udp_);
  udp_ = -1;
}

void DnsEndpoint::reset(Peer peer) {
  resetOnClose(peer->fd);
  connections_.erase(peer);
}

void DnsEndpoint::accept(evutil_socket_t fd) {
  connections_.emplace_back();
  const Peer peer = std::prev(connections_.end());
  peer->fd = fd;
  net::Stream::Handlers handlers;
  handlers.data = [this, peer](evbuffer* input) { onData(peer, input); };
  handlers.end = [this, peer](log::CloseReason, const std::string&) { connections_.erase(peer); };
  peer->stream = std::make_unique<net::Stream>(base_, fd, std::move(handlers));
}

void DnsEndpoint::onDatagrams() {
  char bytes[kMaxDatagramBytes];
  sockaddr_in from{};
  for (;;) {
    socklen_t size = sizeof from;
    const ssize_t received =
        recvfrom(udp_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) return;
    const std::string answer =
        handlers_.datagram({bytes, static_cast<std::size_t>(received)}, ntohs(from.sin_port));
    if (answer.empty()) continue;
    sendto(udp_, answer.data(), answer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), size);
  }
}

void DnsEndpoint::onData(Peer peer, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t before = peer->input.size();
  peer->input.resize(before + size);
  evbuffer_remove(input, peer->input.data() + before, size);
  while (peer->input.size() >= kLengthBytes) {
    const std::size_t end = kLengthBytes + lengthAt(peer->input);
    if (peer->input.size() < end) return;
    const std::string query = peer->input.substr(kLengthBytes, end - kLengthBytes);
    peer->input.erase(0, end);
    if (!handlers_.message(peer, query)) return;
  }
}

}  // namespace peargrade::fakes
