// A loop for tests with sockets: turns until a condition holds. The limit only ends a test that has failed.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <sstream>
#include <string>

#include "discovery/catalog.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/net.h"

namespace peargrade {

struct Loop {
  net::EventBase base = net::makeBase();

  Loop() { std::signal(SIGPIPE, SIG_IGN); }  // as the program does

  bool until(const std::function<bool()>& holds, Micros limit = 20000000) {
    net::Timer tick(base.get(), [] {});
    const Micros end = net::steadyNow() + limit;
    while (!holds()) {
      if (net::steadyNow() > end) return false;
      tick.schedule(5000);
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
    return true;
  }
};

// Something that a test does again and again, and not oftener than this.
struct Pace {
  const Micros every;
  Micros next = 0;

  bool due() {
    const Micros now = net::steadyNow();
    if (now < next) return false;
    next = now + every;
    return true;
  }
};

// A bare listener on loopback: what dials it stays in its queue.
struct Listener {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  net::Address address{"127.0.0.1", 0};

  explicit Listener(int queue) {
    sockaddr_in at = address.socket();
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(fd, queue), 0);
    EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size), 0);
    address.port = ntohs(at.sin_port);
  }
  ~Listener() { close(fd); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
};

// A log whose lines a test can read.
struct ReadLog {
  int ends[2] = {-1, -1};
  std::unique_ptr<log::Log> log;
  std::string text;

  ReadLog() {
    EXPECT_EQ(pipe(ends), 0);
    log = std::make_unique<log::Log>(ends[1], log::Level::Debug);
  }
  ~ReadLog() {
    log.reset();
    close(ends[0]);
    close(ends[1]);
  }
  const std::string& read() {
    log->flush();
    char piece[65536];
    evutil_make_socket_nonblocking(ends[0]);
    for (ssize_t size; (size = ::read(ends[0], piece, sizeof piece)) > 0;) {
      text.append(piece, static_cast<std::size_t>(size));
      log->flush();
    }
    return text;
  }
  bool has(const std::string& part) { return read().find(part) != std::string::npos; }
  std::size_t count(const std::string& part) {
    read();
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++found;
    return found;
  }
};

inline discovery::Names testNames() { return {{"a", "b"}, {"m1", "m2"}, {"lookup", "order"}}; }

// What has come through the exchange, in order.
struct Seen {
  std::vector<Event> events;
  void take(dispatch::Dispatcher& exchange) {
    for (Event& e : exchange.take()) events.push_back(std::move(e));
  }
  template <class T>
  std::vector<T> all() const {
    std::vector<T> found;
    for (const Event& e : events) {
      if (const T* t = std::get_if<T>(&e)) found.push_back(*t);
    }
    return found;
  }
};

}  // namespace peargrade
