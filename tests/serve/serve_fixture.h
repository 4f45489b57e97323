// Runs `peargrade serve` as a child process with a fake relay and a fake discovery service.
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

/// A temporary configuration file, removed by the destructor.
struct WrittenConfig : Written {
  explicit WrittenConfig(const std::string& text) : Written("_config.json", text) {}
};

/// Whether the output of the program contains this text.
bool hasWritten(const Program& program, const std::string& text);

/// A test with at most one supervisor process, on a separate loopback address, and its fake peers.
class ServeTest : public testing::Test {
 protected:
  /// The example configuration with the addresses of this test.
  std::string config() const;
  /// Lists the ready servers s1, s2 and s3.
  void listThreeServers();
  /// Stores one proxy and, for slices 0 to 2, a route to s1, s2 and s3 in the relay.
  void storeRoutes(bool newProxyIncarnation);
  /// listThreeServers() and storeRoutes().
  void addThreeServers(bool newProxyIncarnation = true);

  /// The command line that serves the configuration file.
  std::vector<std::string> serveCommand() const;
  /// Starts the supervisor with this configuration and does not wait until it is ready. `options` are
  /// appended to its command line.
  void launchSupervisor(const std::string& configuration, const std::vector<std::string>& options = {},
                        const std::vector<std::string>& environment = {});
  /// Starts the supervisor and waits until it answers a heartbeat; fails the test otherwise.
  void startSupervisor(const std::string& configuration, const std::vector<std::string>& options = {},
                       const std::vector<std::string>& environment = {});
  /// Connects `client`, repeatedly if necessary, until the supervisor answers a heartbeat.
  bool awaitAnswer();
  /// Sends SIGTERM and expects exit code 0.
  void stopSupervisor();
  /// Sends a heartbeat on the connection of `client` and waits for the answer.
  bool answersHeartbeat();
  /// Whether slice 0 has a route of full weight to a server other than s1 at this relay.
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
