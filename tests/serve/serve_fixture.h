// The program `peargrade serve` with a fake relay and a fake discovery, for tests that see it from outside.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/collector.h"
#include "fakes/discovery.h"
#include "fakes/relay.h"
#include "support/loop.h"
#include "support/program.h"

namespace peargrade {

/// The text of examples/config.json.
std::string exampleConfig();

/// A configuration in a file, for as long as this lives.
struct WrittenConfig : Written {
  explicit WrittenConfig(const std::string& text) : Written("_config.json", text) {}
};

/// Whether the program has written this text.
bool hasWritten(const Program& program, const std::string& text);

/// One supervisor process at most, on an address of its own, beside its fake peers.
class ServeTest : public testing::Test {
 protected:
  /// The example's configuration with the addresses of this test.
  std::string config() const;
  /// Lists the ready servers s1, s2 and s3.
  void listThreeServers();
  /// The relay holds one proxy and a route to s1, s2 and s3 for the slices 0 to 2.
  void storeRoutes(bool newProxyIncarnation);
  void addThreeServers(bool newProxyIncarnation = true);

  /// The command line that serves the configuration file.
  std::vector<std::string> serveCommand() const;
  /// Starts the supervisor on this configuration without waiting for it. `options` are added to its command
  /// line.
  void launchSupervisor(const std::string& configuration, const std::vector<std::string>& options = {},
                        const std::vector<std::string>& environment = {});
  /// Starts the supervisor and waits until it answers a heartbeat; fails the test otherwise.
  void startSupervisor(const std::string& configuration, const std::vector<std::string>& options = {},
                       const std::vector<std::string>& environment = {});
  /// Connects `client` until the supervisor answers it.
  bool awaitAnswer();
  /// Sends SIGTERM and expects exit code 0.
  void stopSupervisor();
  /// Sends a heartbeat on the connection of `client` and waits for the answer.
  bool answersHeartbeat();
  /// Whether another server than s1 is the primary of slice 0 at this relay.
  static bool slice0LeftServer1(const fakes::Relay& relay);
  bool slice0LeftServer1() const { return slice0LeftServer1(relay); }
  bool hasWritten(const std::string& text) const { return peargrade::hasWritten(*program, text); }

  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::Discovery discovery{loop.base.get()};
  net::Address listenAddress{ownHost(), 3000};
  std::optional<WrittenConfig> configFile;
  std::unique_ptr<Program> program;
  /// Sends heartbeats, as a health checker does.
  std::unique_ptr<fakes::Collector> client;
};

}  // namespace peargrade
