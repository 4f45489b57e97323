/// Fixtures that run a Discovery client on a real event loop, against a fake discovery service or against a
/// server whose response bytes the test sends itself.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery/discovery.h"
#include "fakes/discovery.h"
#include "fakes/manual_peer.h"
#include "support/loop.h"

namespace peargrade::discovery {

/// A full list with one endpoint.
inline const std::string kFullList =
    R"({"rev":41,"all":true,"targets":[{"uid":"s-5be2a07c","endpoint":"10.1.0.18:3000","az":"b",)"
    R"("model":"m2","pod_group":3,"state":"DRAINING","capacity_hint":1.5,"boot_ms":1764600000123}]})";

class DiscoveryTest : public testing::Test {
 protected:
  void start(std::int64_t knownVersion = 0, Limits limits = {}) {
    startAt(service.address(), knownVersion, limits);
  }
  void startAt(const net::Address& address, std::int64_t knownVersion = 0, Limits limits = {}) {
    discovery.reset();
    discovery = std::make_unique<Discovery>(loop.base.get(), address, names, knownVersion, dispatcher,
                                            *log.log, limits);
  }
  void request(Action action) { dispatcher.dispatch({std::move(action)}); }
  /// Requests a watch and waits until `expected` updates have arrived in total.
  bool watchUntil(std::size_t expected) {
    request(WatchEndpoints{true});
    return untilUpdates(expected);
  }
  bool until(const std::function<bool()>& holds) {
    return loop.until([&] {
      events.take(dispatcher);
      return holds();
    });
  }
  bool untilUpdates(std::size_t expected) {
    return until([&] { return updates().size() == expected; });
  }
  std::vector<EndpointListUpdate> updates() const { return events.all<EndpointListUpdate>(); }
  std::size_t failures() const {
    const auto all = updates();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](const auto& update) { return update.kind == EndpointListKind::Failed; }));
  }
  bool lastIsFull() const { return !updates().empty() && updates().back().kind == EndpointListKind::Full; }

  Loop loop;
  ReadLog log;
  Names names = testNames();
  dispatch::Dispatcher dispatcher;
  Seen events;
  fakes::Discovery service{loop.base.get()};
  std::unique_ptr<Discovery> discovery;
};

/// The test sends the bytes of the service's responses itself.
class ManualDiscoveryTest : public DiscoveryTest {
 protected:
  static inline const std::string kHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  static std::string chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  static std::string fullListChunk() { return chunk(kFullList + "\n"); }

  void startManual(Micros idleTimeout, Action action = WatchEndpoints{true}) {
    Limits limits;
    limits.idleTimeout = idleTimeout;
    startAt(server.address(), 0, limits);
    requestAndAccept(std::move(action));
  }
  void requestAndAccept(Action action = WatchEndpoints{true}) {
    request(std::move(action));
    peer.reset();
    ASSERT_TRUE(until([&] {
      if (!peer) peer = server.accept();
      return peer && peer->read().find("\r\n\r\n") != std::string::npos;
    }));
  }
  /// Sends `bytes` every 20 ms until the request fails.
  bool trickleUntilFailure(const std::string& bytes) {
    Pace pace{20000};
    return until([&] {
      if (pace.due()) peer->send(bytes);
      return failures() == 1;
    });
  }

  fakes::ManualServer server;
  std::unique_ptr<fakes::ManualPeer> peer;
};

}  // namespace peargrade::discovery
