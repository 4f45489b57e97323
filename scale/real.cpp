#include "scale/real.h"

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

Real::Real(const std::string& program, const std::string& folder, const std::string& name,
           const std::string& configuration)
    : config_(folder + "/" + name + ".json"), log_(folder + "/" + name + ".log") {
  writeFile(config_, configuration);
  const pid_t parent = getpid();
  process_ = fork();
  if (process_ < 0) throw std::runtime_error("no process for " + name);
  if (process_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), "serve", "--config", config_.c_str(), "--log-level", "warn",
        static_cast<char*>(nullptr));
  _exit(127);
}

Real::~Real() {
  if (!ended()) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  std::remove(config_.c_str());
  std::remove(log_.c_str());
}

void Real::reload(const std::string& configuration) {
  writeFile(config_ + ".new", configuration);
  if (std::rename((config_ + ".new").c_str(), config_.c_str()) != 0)
    throw std::runtime_error("cannot replace " + config_);
  kill(process_, SIGHUP);
}

bool Real::ended() {
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) process_ = -1;
  return process_ <= 0;
}

net::Address ownAddress(int number) {
  const int pid = getpid();
  return {"127." + std::to_string(64 + pid / 250 % 64) + "." + std::to_string(1 + pid % 250) + "." +
              std::to_string(1 + number % 250),
          kPort};
}

}  // namespace peargrade::scale
