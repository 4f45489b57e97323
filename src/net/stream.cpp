#include "net/stream.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace peargrade::net {
namespace {

constexpr int kBufferOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

void disableNagle(evutil_socket_t socket) {
  const int enabled = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace

Stream::Stream(event_base* base, const Address& to, Micros connectTimeout, Handlers handlers)
    : handlers_(std::make_shared<Handlers>(std::move(handlers))),
      buffer_(requireHandle(bufferevent_socket_new(base, -1, kBufferOptions))) {
  sockaddr_in address = to.socket();
  start();
  const timeval limit = toTimeval(connectTimeout);
  bufferevent_set_timeouts(buffer_.get(), nullptr, &limit);
  // The result can be ignored: an immediate failure, such as no free descriptor, is reported to onEvent as
  // well.
  bufferevent_socket_connect(buffer_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address);
}

Stream::Stream(event_base* base, evutil_socket_t socket, Handlers handlers)
    : handlers_(std::make_shared<Handlers>(std::move(handlers))), up_(true) {
  evutil_make_socket_nonblocking(socket);
  disableNagle(socket);
  buffer_.reset(requireHandle(bufferevent_socket_new(base, socket, kBufferOptions)));
  start();
}

void Stream::start() {
  bufferevent_setcb(buffer_.get(), onRead, nullptr, onEvent, this);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
}

void Stream::send(const std::string& bytes) { bufferevent_write(buffer_.get(), bytes.data(), bytes.size()); }

void Stream::flush() {
  evbuffer* const output = bufferevent_get_output(buffer_.get());
  // A bufferevent freezes its output buffer, so that only the bufferevent itself can drain it.
  evbuffer_unfreeze(output, 1);
  if (evbuffer_get_length(output) > 0) evbuffer_write(output, bufferevent_getfd(buffer_.get()));
  evbuffer_freeze(output, 1);
}

bool Stream::halfClose() {
  flush();
  if (unsent() > 0) return false;
  shutdown(bufferevent_getfd(buffer_.get()), SHUT_WR);
  return true;
}

Stream::Waiting Stream::waiting() const {
  char byte;
  const auto size = recv(bufferevent_getfd(buffer_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return Waiting::Bytes;
  const bool isEmpty = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return isEmpty ? Waiting::Nothing : Waiting::End;
}

void Stream::pauseReading() { bufferevent_disable(buffer_.get(), EV_READ); }

void Stream::resumeReading() { bufferevent_enable(buffer_.get(), EV_READ); }

bool Stream::peerHasClosed() const {
  pollfd state{bufferevent_getfd(buffer_.get()), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t Stream::unsent() const { return evbuffer_get_length(bufferevent_get_output(buffer_.get())); }

// The local copy of the shared pointer keeps the handlers alive if a callback destroys the Stream.
void Stream::onRead(bufferevent* buffer, void* self) {
  const auto handlers = static_cast<Stream*>(self)->handlers_;
  if (handlers->data) handlers->data(bufferevent_get_input(buffer));
}

void Stream::onEvent(bufferevent* buffer, short events, void* self) {
  Stream* const stream = static_cast<Stream*>(self);
  const auto handlers = stream->handlers_;
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    stream->up_ = true;
    bufferevent_set_timeouts(buffer, nullptr, nullptr);
    disableNagle(bufferevent_getfd(buffer));
    if (handlers->up) handlers->up();
    return;
  }
  const int error = EVUTIL_SOCKET_ERROR();
  const bool wasConnecting = !stream->up_;
  bufferevent_disable(buffer, EV_READ | EV_WRITE);
  if (!handlers->end) return;
  if ((events & BEV_EVENT_TIMEOUT) != 0)
    handlers->end(log::CloseReason::ConnectTimeout, "");
  else if ((events & BEV_EVENT_EOF) != 0)
    handlers->end(log::CloseReason::PeerClosed, "");
  else
    handlers->end(wasConnecting ? log::CloseReason::Refused : log::CloseReason::Reset, std::strerror(error));
}

}  // namespace peargrade::net
