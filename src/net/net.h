// libevent behind RAII: addresses, timers, streams, the listener, and waits between dials.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "log/reason.h"
#include "peargrade/decision_engine.h"

namespace peargrade::net {

template <auto Free>
struct Freed {
  template <class T>
  void operator()(T* handle) const {
    Free(handle);
  }
};
using EventBase = std::unique_ptr<event_base, Freed<event_base_free>>;
using EventHandle = std::unique_ptr<event, Freed<event_free>>;
using BufferHandle = std::unique_ptr<bufferevent, Freed<bufferevent_free>>;
using ListenerHandle = std::unique_ptr<evconnlistener, Freed<evconnlistener_free>>;

EventBase makeBase();

// Microseconds of a clock that never jumps; for waits and ages.
Micros steadyNow();

// "127.0.0.1:3000". Numbers only: names would need DNS.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  static std::optional<Address> parse(const std::string& text);
  std::string text() const { return host + ":" + std::to_string(port); }
  sockaddr_in socket() const;
};

class Timer {
 public:
  Timer(event_base* base, std::function<void()> fired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void in(Micros delay);  // replaces what was set
  void cancel();
  bool set() const;

 private:
  std::function<void()> fired_;
  EventHandle event_;
};

// A limit on a peer's silence. When it has passed, what has come meanwhile is read first: a process that
// stood still would else take its own pause for the peer's silence.
class IdleTimeout {
 public:
  IdleTimeout(event_base* base, std::function<void()> passed);
  void in(Micros span);  // from now; replaces what was set
  void cancel() { timer_.cancel(); }

 private:
  static constexpr Micros kLastChance = 10000;

  std::function<void()> passed_;
  bool lastChance_ = false;
  Timer timer_;
};

// Waits between dials: doubled after each failure, with jitter so that peers do not dial in step.
class Backoff {
 public:
  Backoff(Micros least, Micros most, std::uint64_t seed)
      : least_(least), most_(most), next_(least), random_(seed) {}
  Micros next();
  void reset() { next_ = least_; }

 private:
  Micros least_, most_, next_;
  std::mt19937_64 random_;
};

// One TCP connection, dialled or taken in. `end` comes once at most and last; the owner may destroy the
// Stream in any of the callbacks.
class Stream {
 public:
  struct Handlers {
    std::function<void()> up;                                  // a dial has succeeded
    std::function<void(evbuffer*)> data;                       // bytes have come
    std::function<void(log::Reason, const std::string&)> end;  // it is over
  };
  // Dials.
  Stream(event_base* base, const Address& to, Micros connectWithin, Handlers handlers);
  // Takes over a connected socket.
  Stream(event_base* base, evutil_socket_t fd, Handlers handlers);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool up() const { return up_; }
  void send(const std::string& bytes);
  // Before the owner destroys it: what is to be sent is written as far as the socket takes it at once.
  void flush();
  // Nothing is sent any more: the peer reads an end behind what was. False: not all of that has gone.
  bool halfClose();
  std::size_t unsent() const;
  // What waits at the socket, not read yet.
  enum class Waiting { Nothing, Bytes, End };
  Waiting waiting() const;
  // What comes from now on goes elsewhere; the former handlers live on while they are being called.
  void setHandlers(Handlers handlers) { handlers_ = std::make_shared<Handlers>(std::move(handlers)); }

 private:
  static void onRead(bufferevent*, void* self);
  static void onEvent(bufferevent*, short what, void* self);
  void start();

  std::shared_ptr<Handlers> handlers_;
  bool up_ = false;
  BufferHandle buffer_;
};

}  // namespace peargrade::net
