#include "net/net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <new>
#include <stdexcept>

namespace peargrade::net {
namespace {

template <class T>
T* made(T* handle) {
  if (handle == nullptr) throw std::bad_alloc();
  return handle;
}

timeval toTimeval(Micros span) {
  span = std::max<Micros>(span, 0);
  return {static_cast<time_t>(span / 1000000), static_cast<suseconds_t>(span % 1000000)};
}

}  // namespace

EventBase makeBase() { return EventBase(made(event_base_new())); }

Micros steadyNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::optional<Address> Address::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  in_addr numbers{};
  if (inet_pton(AF_INET, address.host.c_str(), &numbers) != 1) return std::nullopt;
  const std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const int number = std::stoi(port);
  if (number > 65535) return std::nullopt;
  address.port = static_cast<std::uint16_t>(number);
  return address;
}

sockaddr_in Address::socket() const {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &at.sin_addr);
  return at;
}

Timer::Timer(event_base* base, std::function<void()> fired)
    : fired_(std::move(fired)),
      event_(made(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->fired_(); },
          this))) {}

void Timer::in(Micros delay) {
  const timeval wait = toTimeval(delay);
  event_add(event_.get(), &wait);
}

void Timer::cancel() { event_del(event_.get()); }

bool Timer::set() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

IdleTimeout::IdleTimeout(event_base* base, std::function<void()> passed)
    : passed_(std::move(passed)), timer_(base, [this] {
        if (lastChance_) return passed_();
        lastChance_ = true;
        timer_.in(kLastChance);
      }) {}

void IdleTimeout::in(Micros span) {
  lastChance_ = false;
  timer_.in(span);
}

Micros Backoff::next() {
  const Micros wait = std::uniform_int_distribution<Micros>(next_ / 2, next_)(random_);
  next_ = std::min(2 * next_, most_);
  return wait;
}

Stream::Stream(event_base* base, const Address& to, Micros connectWithin, Handlers handlers)
    : handlers_(std::make_shared<Handlers>(std::move(handlers))),
      buffer_(made(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))) {
  sockaddr_in address = to.socket();
  start();
  const timeval limit = toTimeval(connectWithin);
  bufferevent_set_timeouts(buffer_.get(), nullptr, &limit);
  // A dial that fails at once (no descriptor left, say) reports through onEvent as well.
  bufferevent_socket_connect(buffer_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address);
}

Stream::Stream(event_base* base, evutil_socket_t fd, Handlers handlers)
    : handlers_(std::make_shared<Handlers>(std::move(handlers))), up_(true) {
  evutil_make_socket_nonblocking(fd);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  buffer_.reset(made(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)));
  start();
}

void Stream::start() {
  bufferevent_setcb(buffer_.get(), onRead, nullptr, onEvent, this);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
}

void Stream::send(const std::string& bytes) { bufferevent_write(buffer_.get(), bytes.data(), bytes.size()); }

void Stream::flush() {
  evbuffer* const output = bufferevent_get_output(buffer_.get());
  evbuffer_unfreeze(output, 1);  // libevent keeps its own writes to itself
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
  const bool none = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return none ? Waiting::Nothing : Waiting::End;
}

std::size_t Stream::unsent() const { return evbuffer_get_length(bufferevent_get_output(buffer_.get())); }

void Stream::onRead(bufferevent* buffer, void* self) {
  const auto handlers =
      static_cast<Stream*>(self)->handlers_;  // outlives the Stream if that is destroyed here
  if (handlers->data) handlers->data(bufferevent_get_input(buffer));
}

void Stream::onEvent(bufferevent* buffer, short what, void* self) {
  Stream* const stream = static_cast<Stream*>(self);
  const auto handlers = stream->handlers_;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    stream->up_ = true;
    bufferevent_set_timeouts(buffer, nullptr, nullptr);
    const int on = 1;
    setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (handlers->up) handlers->up();
    return;
  }
  const int error = EVUTIL_SOCKET_ERROR();
  const bool dialling = !stream->up_;
  bufferevent_disable(buffer, EV_READ | EV_WRITE);
  if (!handlers->end) return;
  if ((what & BEV_EVENT_TIMEOUT) != 0) return handlers->end(log::Reason::ConnectTimeout, "");
  if ((what & BEV_EVENT_EOF) != 0) return handlers->end(log::Reason::PeerClosed, "");
  handlers->end(dialling ? log::Reason::Refused : log::Reason::Reset, std::strerror(error));
}

}  // namespace peargrade::net
