// Fixtures for tests with sockets: an event loop, a listening socket, a readable log and recorded events.
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

/// An event loop that runs on the test's thread.
struct Loop {
  /// Default time limit of until(), in microseconds. Only a failing test reaches it.
  static constexpr Micros kTimeLimit = 20 * 1000000;
  /// Interval at which a condition is evaluated while no events arrive, in microseconds.
  static constexpr Micros kCheckInterval = 5000;

  net::EventBase base = net::makeBase();

  Loop() { std::signal(SIGPIPE, SIG_IGN); }  // as the program itself does

  /// Runs the loop until the condition holds. Returns false if it does not hold within `limit` microseconds.
  bool until(const std::function<bool()>& holds, Micros limit = kTimeLimit) {
    net::Timer tick(base.get(), [] {});
    const Micros end = net::steadyNow() + limit;
    while (!holds()) {
      if (net::steadyNow() > end) return false;
      tick.schedule(kCheckInterval);
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
    return true;
  }
};

/// Limits an action that a test repeats to once per interval, in microseconds.
struct Pace {
  const Micros every;
  Micros next = 0;

  /// Whether the interval since the last due time has passed; if so, starts the next interval.
  bool due() {
    const Micros now = net::steadyNow();
    if (now < next) return false;
    next = now + every;
    return true;
  }
};

/// A listening socket on loopback that accepts nothing: connections stay in its backlog.
struct Listener {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  net::Address address{"127.0.0.1", 0};

  explicit Listener(int backlog) {
    sockaddr_in bound = address.socket();
    socklen_t size = sizeof bound;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&bound), size), 0);
    EXPECT_EQ(listen(fd, backlog), 0);
    EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size), 0);
    address.port = ntohs(bound.sin_port);
  }
  ~Listener() { close(fd); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
};

/// A log that writes to a pipe, for tests that read its lines.
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
  /// Everything logged so far.
  const std::string& read() {
    log->flush();
    char buffer[65536];
    evutil_make_socket_nonblocking(ends[0]);
    for (ssize_t size; (size = ::read(ends[0], buffer, sizeof buffer)) > 0;) {
      text.append(buffer, static_cast<std::size_t>(size));
      log->flush();
    }
    return text;
  }
  bool has(const std::string& part) { return read().find(part) != std::string::npos; }
  /// How often `part` occurs in everything logged so far.
  std::size_t count(const std::string& part) {
    read();
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++found;
    return found;
  }
};

/// Names of two zones, two machine types and two request classes.
inline discovery::Names testNames() { return {{"a", "b"}, {"m1", "m2"}, {"lookup", "order"}}; }

/// The events received from a dispatcher, in order.
struct Seen {
  std::vector<Event> events;

  /// Appends the events that are pending in the dispatcher.
  void take(dispatch::Dispatcher& dispatcher) {
    for (Event& event : dispatcher.take()) events.push_back(std::move(event));
  }
  /// The events of one type.
  template <class T>
  std::vector<T> all() const {
    std::vector<T> found;
    for (const Event& event : events) {
      if (const T* match = std::get_if<T>(&event)) found.push_back(*match);
    }
    return found;
  }
};

}  // namespace peargrade
