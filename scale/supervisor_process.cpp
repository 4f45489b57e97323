#include "scale/supervisor_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace peargrade::scale {
namespace {

constexpr std::uint16_t kPort = 3001;

void writeFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  if (!out.flush()) throw std::runtime_error("cannot write " + path);
}

}  // namespace

SupervisorProcess::SupervisorProcess(const std::string& program, const std::string& folder,
                                     const std::string& name, const std::string& configuration)
    : configPath_(folder + "/" + name + ".json"), logPath_(folder + "/" + name + ".log") {
  writeFile(configPath_, configuration);
  const pid_t parent = getpid();
  process_ = fork();
  if (process_ < 0) throw std::runtime_error("cannot start " + name + ": fork failed");
  if (process_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  const int logFile = open(logPath_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  dup2(logFile, STDOUT_FILENO);
  dup2(logFile, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), "serve", "--config", configPath_.c_str(), "--log-level", "warn",
        static_cast<char*>(nullptr));
  _exit(127);
}

SupervisorProcess::~SupervisorProcess() {
  if (!hasExited()) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  std::remove(configPath_.c_str());
  std::remove(logPath_.c_str());
}

void SupervisorProcess::reload(const std::string& configuration) {
  writeFile(configPath_ + ".new", configuration);
  if (std::rename((configPath_ + ".new").c_str(), configPath_.c_str()) != 0)
    throw std::runtime_error("cannot replace " + configPath_);
  kill(process_, SIGHUP);
}

bool SupervisorProcess::hasExited() {
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) process_ = -1;
  return process_ <= 0;
}

net::Address uniqueLoopbackAddress(int number) {
  const int pid = getpid();
  return {"127." + std::to_string(64 + pid / 250 % 64) + "." + std::to_string(1 + pid % 250) + "." +
              std::to_string(1 + number % 250),
          kPort};
}

}  // namespace peargrade::scale
