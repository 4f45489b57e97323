// A supervisor in a process of its own: `peargrade serve`, the program as it is deployed.
#pragma once

#include <sys/types.h>

#include <string>

#include "net/net.h"
#include "scale/resource_usage.h"

namespace peargrade::scale {

class SupervisorProcess {
 public:
  /// Writes the configuration to `folder`/`name`.json and starts the program with it; its log goes to
  /// `folder`/`name`.log. Throws std::runtime_error.
  SupervisorProcess(const std::string& program, const std::string& folder, const std::string& name,
                    const std::string& configuration);
  /// Kills the process and removes its files.
  ~SupervisorProcess();
  SupervisorProcess(const SupervisorProcess&) = delete;
  SupervisorProcess& operator=(const SupervisorProcess&) = delete;

  /// Replaces the configuration file and sends SIGHUP.
  void reload(const std::string& configuration);
  bool hasExited();
  ResourceUsage resourceUsage() const { return processResourceUsage(process_); }

 private:
  std::string configPath_;
  std::string logPath_;
  pid_t process_ = -1;
};

/// Listen address of the supervisor with this number, on a loopback address derived from the id of this
/// process so that load tests that run at the same time do not collide.
net::Address uniqueLoopbackAddress(int number);

}  // namespace peargrade::scale
