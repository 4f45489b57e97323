// Fixture: the supervisor as a process with a zone of its own and fakes for the other parts. Size: 8 slices,
// 6 servers.
#pragma once

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>

#include "fakes/collector.h"
#include "fakes/slice_coverage.h"
#include "support/loop.h"
#include "support/program.h"

namespace peargrade {

inline constexpr Micros kSecond = 1000000;
inline constexpr Micros kMaxUncovered = 5 * kSecond;
inline constexpr Micros kDrainGrace = 2 * kSecond;
inline constexpr Micros kSocketAllowance = 300000;

struct Deploy : testing::Test {
  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::SliceCoverage coverage{relay, net::steadyNow};
  net::Address listen{ownHost(), 3000}, updates{ownHost(), 5300};
  std::string root = testing::TempDir() + "peargrade_deploy_" + std::to_string(getpid());
  std::unique_ptr<Written> config, operatorFile, keys, ownKey, script;
  std::unique_ptr<Program> program;
  std::unique_ptr<fakes::Collector> collector;
  std::function<void()> eachStep;  // called in each turn of the loop

  Deploy() {
    std::filesystem::remove_all(root);
    std::filesystem::create_directory(root);
    chmod(root.c_str(), 0700);
    relay.proxies[0] = {"east", 5, true};
    for (int slice = 0; slice < 8; ++slice) relay.slices[slice] = {{endpointOf(slice % 6), "1"}};
    std::ifstream in(PEARGRADE_EXAMPLE_CONFIG);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    text = replaced(text, "127.0.0.1:3000", listen.text());
    text = replaced(text, "127.0.0.1:6400", relay.address().text());
    config = std::make_unique<Written>("_deploy.json", text);
    const std::string own = "key \"ops\" secret=\"MDEyMzQ1Njc4OWFiY2RlZg==\"\n";
    ownKey = std::make_unique<Written>("_own.keys", own);
    keys = std::make_unique<Written>("_deploy.keys",
                                     own + "key \"crowd\" secret=\"MDEyMzQ1Njc4OWFiY2RlZg==\"\n");
    chmod(ownKey->path.c_str(), 0600);
    chmod(keys->path.c_str(), 0600);
    operatorFile = std::make_unique<Written>(
        "_deploy.kdl",
        "version 1\nsources {\n roster false\n zone \"orders\" {\n origin \"example.org\"\n"
        " service \"_o._tcp.example.org\"\n place zone=\"east\"\n state \"" +
            root + "\"\n listen \"" + updates.text() + "\"\n keys \"" + keys->path +
            "\"\n grant key=\"ops\" name=\"*.example.org\"\n"
            " grant key=\"crowd\" name=\"*.example.org\"\n }\n}\n");
  }
  ~Deploy() override {
    program.reset();
    std::filesystem::remove_all(root);
  }
  static std::string host(int k) { return "bello-" + std::to_string(k); }
  static std::string endpointOf(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }
  static std::string add(int k) {
    return "add " + host(k) + " 60 A 10.1.0." + std::to_string(k) + "\nadd _o._tcp 60 SRV 0 10 3000 " +
           host(k) + "\n";
  }
  static std::string removeServer(int k) {
    return "delete " + host(k) + "\ndelete _o._tcp SRV 0 10 3000 " + host(k) + "\n";
  }
  static std::string startedNow() {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count());
  }
  void start() {
    program = std::make_unique<Program>(std::vector<std::string>{
        PEARGRADE_PROGRAM, "serve", "-c", config->path, "--operator", operatorFile->path});
    ASSERT_TRUE(until([&] { return hasWritten("takes updates at"); })) << program->output();
  }
  void awaitAnswer() {
    collector.reset();
    ASSERT_TRUE(until([&] {
      if (!collector || collector->ended()) {
        collector = std::make_unique<fakes::Collector>(loop.base.get(), listen);
        collector->send(R"({"type":"hb"})");
      }
      return !collector->received.empty();
    })) << program->output();
  }
  bool until(const std::function<bool()>& holds) {
    return loop.until([&] {
      coverage.sample();
      if (eachStep) eachStep();
      return holds();
    });
  }
  bool hasWritten(const std::string& part) const { return program->output().find(part) != std::string::npos; }
  bool used(int k) const {
    for (const auto& [slice, lines] : relay.slices) {
      if (lines.count(endpointOf(k)) != 0) return true;
    }
    return false;
  }
  // Runs `peargrade zone update` and returns its exit code.
  int update(const std::string& text, const std::vector<std::string>& more = {}) {
    script.reset();  // remove the old file first, as the new one has the same path
    script = std::make_unique<Written>("_deploy.script", text);
    std::vector<std::string> arguments{PEARGRADE_PROGRAM, "zone",        "update",   script->path,
                                       "--origin",        "example.org", "--server", updates.text(),
                                       "--key",           ownKey->path};
    arguments.insert(arguments.end(), more.begin(), more.end());
    Program sender(arguments);
    EXPECT_TRUE(until([&] { return sender.ended(); }));
    return sender.wait();
  }
};

}  // namespace peargrade
