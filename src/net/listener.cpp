#include "net/listener.h"

#include <arpa/inet.h>
#include <poll.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace peargrade::net {
namespace {

constexpr int kBacklog = 512;                // maximum connections in the kernel's accept queue
constexpr Micros kPauseAfterError = 100000;  // 0.1 s
constexpr unsigned kListenerOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;

std::string peerName(const sockaddr* from) {
  if (from == nullptr || from->sa_family != AF_INET) return "?";
  const auto* address = reinterpret_cast<const sockaddr_in*>(from);
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &address->sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address->sin_port));
}

}  // namespace

Listener::Listener(event_base* base, const Address& address, std::size_t acceptsPerTurn, Handlers handlers)
    : address_(address),
      acceptsPerTurn_(acceptsPerTurn),
      handlers_(std::move(handlers)),
      nextTurn_(base, [this] { startTurn(); }),
      pauseAfterError_(base, [this] { resume(); }) {
  sockaddr_in native = address.socket();
  socklen_t size = sizeof native;
  listener_.reset(evconnlistener_new_bind(base, onAccept, this, kListenerOptions, kBacklog,
                                          reinterpret_cast<sockaddr*>(&native), sizeof native));
  if (!listener_)
    throw std::runtime_error("cannot listen on " + address.text() + ": " + std::strerror(errno));
  evconnlistener_set_error_cb(listener_.get(), onAcceptError);
  if (getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&native), &size) == 0)
    address_.port = ntohs(native.sin_port);
}

// libevent would accept all queued connections in one iteration. The listener is therefore disabled when the
// limit is reached, and enabled again in the next iteration.
void Listener::onAccept(evconnlistener* handle, evutil_socket_t socket, sockaddr* from, int, void* self) {
  auto* listener = static_cast<Listener*>(self);
  if (listener->acceptedThisTurn_ == 0) listener->nextTurn_.schedule(0);
  ++listener->acceptedThisTurn_;
  if (listener->acceptedThisTurn_ >= listener->acceptsPerTurn_) evconnlistener_disable(handle);
  listener->handlers_.accepted(socket, peerName(from));
}

void Listener::onAcceptError(evconnlistener* handle, void* self) {
  auto* listener = static_cast<Listener*>(self);
  const std::string error = std::strerror(EVUTIL_SOCKET_ERROR());
  listener->handlers_.failed(error);
  evconnlistener_disable(handle);
  listener->pauseAfterError_.schedule(kPauseAfterError);
}

void Listener::setAccepting(bool accepting) {
  accepting_ = accepting;
  if (!accepting)
    evconnlistener_disable(listener_.get());
  else if (!pauseAfterError_.isScheduled())
    resume();
}

bool Listener::hasWaitingConnection() const {
  pollfd state{evconnlistener_get_fd(listener_.get()), POLLIN, 0};
  return poll(&state, 1, 0) > 0;
}

void Listener::limitReceiveBuffer(int bytes) {
  setsockopt(evconnlistener_get_fd(listener_.get()), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void Listener::startTurn() {
  acceptedThisTurn_ = 0;
  if (!pauseAfterError_.isScheduled()) resume();
}

void Listener::resume() {
  if (accepting_) evconnlistener_enable(listener_.get());
}

}  // namespace peargrade::net
