// The program as a test starts it.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace peargrade {

// A program with its output in a file; killed if the test ends before it does.
class Program {
 public:
  // `log`: where its output goes in place of the file; `descriptors`: how many it may hold.
  Program(const std::vector<std::string>& words, const std::vector<std::string>& variables = {}, int log = -1,
          rlim_t descriptors = 0) {
    out_ = testing::TempDir() + "peargrade_out_" + std::to_string(getpid()) + "_" + std::to_string(++count_);
    pid_ = fork();
    if (pid_ == 0) {
      const int fd = log >= 0 ? log : open(out_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      const rlimit most{descriptors, descriptors};
      if (descriptors > 0) setrlimit(RLIMIT_NOFILE, &most);
      dup2(fd, 1);
      dup2(fd, 2);
      std::vector<char*> argv, env;
      for (const std::string& w : words) argv.push_back(const_cast<char*>(w.c_str()));
      for (const std::string& v : variables) env.push_back(const_cast<char*>(v.c_str()));
      argv.push_back(nullptr);
      env.push_back(nullptr);
      execve(argv[0], argv.data(), env.data());
      _exit(127);
    }
  }
  ~Program() {
    if (pid_ > 0 && !ended()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
    }
    std::remove(out_.c_str());
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  bool ended() {
    if (!over_ && waitpid(pid_, &status_, WNOHANG) == pid_) over_ = true;
    return over_;
  }
  int wait() {  // its exit code, or -1 where a signal ended it
    if (!over_) waitpid(pid_, &status_, 0);
    over_ = true;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  void signal(int number) { kill(pid_, number); }
  // Stands still when this returns, until SIGCONT.
  void stop() {
    kill(pid_, SIGSTOP);
    int status = 0;
    while (waitpid(pid_, &status, WUNTRACED) == pid_ && !WIFSTOPPED(status)) {
    }
  }
  long peakMemoryMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.compare(0, 6, "VmHWM:") == 0) return std::atol(line.c_str() + 6) / 1024;
    }
    return -1;
  }
  long descriptors() const {
    long count = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"))
      ++count;
    return count;
  }
  std::string output() const {
    std::ifstream in(out_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  static inline int count_ = 0;
  pid_t pid_ = -1;
  int status_ = 0;
  bool over_ = false;
  std::string out_;
};
inline std::string replaced(std::string text, const std::string& part, const std::string& other) {
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part;
  return at == std::string::npos ? text : text.replace(at, part.size(), other);
}

// A file with a text for as long as this lives.
struct Written {
  std::string path;
  Written(const std::string& ending, const std::string& text)
      : path(testing::TempDir() + "peargrade_" + std::to_string(getpid()) + ending) {
    std::ofstream(path) << text;
  }
  ~Written() { std::remove(path.c_str()); }
  Written(const Written&) = delete;
  Written& operator=(const Written&) = delete;
};

// An address of the loopback range that no other test run uses.
inline std::string ownHost() {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 65536 % 64) + "." + std::to_string(pid / 256 % 256) + "." +
         std::to_string(1 + pid % 250);
}

}  // namespace peargrade
