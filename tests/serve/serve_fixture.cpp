#include "serve_fixture.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace peargrade {

std::string exampleConfig() {
  std::ifstream in(PEARGRADE_EXAMPLE_CONFIG);
  return {std::istreambuf_iterator<char>(in), {}};
}

bool hasWritten(const Program& program, const std::string& text) {
  return program.output().find(text) != std::string::npos;
}

std::string ServeTest::config() const {
  std::string text = replaced(exampleConfig(), "127.0.0.1:3000", listenAddress.text());
  text = replaced(text, "127.0.0.1:8500", discovery.address().text());
  return replaced(text, "127.0.0.1:6400", relay.address().text());
}

void ServeTest::listThreeServers() {
  for (const char* server : {"s1", "s2", "s3"}) discovery.set(server, "east", "SERVING");
}

void ServeTest::storeRoutes(bool newProxyIncarnation) {
  relay.proxies[0] = {"east", 5, newProxyIncarnation};
  relay.slices = {{0, {{"s1", "1"}}}, {1, {{"s2", "1"}}}, {2, {{"s3", "1"}}}};
}

void ServeTest::addThreeServers(bool newProxyIncarnation) {
  listThreeServers();
  storeRoutes(newProxyIncarnation);
}

std::vector<std::string> ServeTest::serveCommand() const {
  return {PEARGRADE_PROGRAM, "serve", "-c", configFile->path};
}

void ServeTest::launchSupervisor(const std::string& configuration, const std::vector<std::string>& options,
                                 const std::vector<std::string>& environment) {
  configFile.emplace(configuration);
  std::vector<std::string> command = serveCommand();
  command.insert(command.end(), options.begin(), options.end());
  program = std::make_unique<Program>(command, environment);
}

void ServeTest::startSupervisor(const std::string& configuration, const std::vector<std::string>& options,
                                const std::vector<std::string>& environment) {
  launchSupervisor(configuration, options, environment);
  ASSERT_TRUE(awaitAnswer()) << program->output();
}

bool ServeTest::awaitAnswer() {
  return loop.until([this] {
    if (!client || client->ended()) {
      client = std::make_unique<fakes::Collector>(loop.base.get(), listenAddress);
      client->send(R"({"type":"hb"})");
    }
    return !client->received.empty();
  });
}

void ServeTest::stopSupervisor() {
  program->signal(SIGTERM);
  EXPECT_EQ(program->wait(), 0) << program->output();
}

bool ServeTest::answersHeartbeat() {
  const std::size_t answersBefore = client->received.size();
  client->send(R"({"type":"hb"})");
  return loop.until([&] { return client->received.size() > answersBefore || program->ended(); }) &&
         client->received.size() > answersBefore;
}

bool ServeTest::slice0LeftServer1(const fakes::Relay& relay) {
  const auto routes = relay.slices.find(0);
  if (routes == relay.slices.end()) return false;
  return std::any_of(routes->second.begin(), routes->second.end(), [](const auto& route) {
    return route.first != "s1" && std::atof(route.second.c_str()) >= 1;
  });
}

}  // namespace peargrade
