// Child processes of tests, temporary files and loopback addresses.
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

/// A child process whose output goes to a file. The destructor kills it if it is still running.
class Program {
 public:
  /// `command`: path and arguments. `environment`: the complete environment. `outputDescriptor`: receives the
  /// output in place of the file, unless negative. `descriptorLimit`: maximum number of open files; 0: the
  /// limit of the test process.
  explicit Program(const std::vector<std::string>& command, const std::vector<std::string>& environment = {},
                   int outputDescriptor = -1, rlim_t descriptorLimit = 0)
      : outputPath_(testing::TempDir() + "peargrade_out_" + std::to_string(getpid()) + "_" +
                    std::to_string(++count_)),
        pid_(fork()) {
    if (pid_ == 0) execute(command, environment, outputDescriptor, descriptorLimit);
  }
  ~Program() {
    if (pid_ > 0 && !ended()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
    }
    std::remove(outputPath_.c_str());
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  bool ended() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  /// Waits for the process to exit. Returns its exit code, or -1 if it was killed by a signal.
  int wait() {
    if (!ended_) waitpid(pid_, &status_, 0);
    ended_ = true;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  void signal(int number) { kill(pid_, number); }
  /// Highest resident memory of the process so far, in bytes; 0 if it has ended.
  std::size_t peakMemory() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.compare(0, 6, "VmHWM:") == 0) return std::stoul(line.substr(6)) << 10;
    }
    return 0;
  }
  pid_t pid() const { return pid_; }
  /// Sends SIGSTOP and waits until the process has stopped. SIGCONT resumes it.
  void stop() {
    kill(pid_, SIGSTOP);
    int status = 0;
    while (waitpid(pid_, &status, WUNTRACED) == pid_ && !WIFSTOPPED(status)) {
    }
  }
  /// Peak resident memory in MiB, or -1 if unknown.
  long peakMemoryMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.compare(0, 6, "VmHWM:") == 0) return std::atol(line.c_str() + 6) / 1024;
    }
    return -1;
  }
  /// Number of open file descriptors.
  long descriptors() const {
    long count = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"))
      ++count;
    return count;
  }
  /// Everything written to the output file so far.
  std::string output() const {
    std::ifstream in(outputPath_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  // A null-terminated array of pointers to the words, for execve.
  static std::vector<char*> pointers(const std::vector<std::string>& words) {
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (const std::string& word : words) pointers.push_back(const_cast<char*>(word.c_str()));
    pointers.push_back(nullptr);
    return pointers;
  }
  // Runs in the child process.
  [[noreturn]] void execute(const std::vector<std::string>& command,
                            const std::vector<std::string>& environment, int outputDescriptor,
                            rlim_t descriptorLimit) const {
    const int output = outputDescriptor >= 0 ? outputDescriptor
                                             : open(outputPath_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const rlimit limit{descriptorLimit, descriptorLimit};
    if (descriptorLimit > 0) setrlimit(RLIMIT_NOFILE, &limit);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(command.front().c_str(), pointers(command).data(), pointers(environment).data());
    constexpr int kCannotExecute = 127;  // as a shell reports it
    _exit(kCannotExecute);
  }

  static inline int count_ = 0;
  const std::string outputPath_;
  const pid_t pid_;
  int status_ = 0;
  bool ended_ = false;
};

/// `text` with the first occurrence of `part` replaced by `other`. The test fails if there is none.
inline std::string replaced(std::string text, const std::string& part, const std::string& other) {
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part;
  return at == std::string::npos ? text : text.replace(at, part.size(), other);
}

/// A temporary file that contains `text`. The destructor removes it. The file name consists of the process id
/// and `ending`.
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

/// A loopback address derived from the process id, so that tests running in parallel do not share one.
inline std::string ownHost() {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 65536 % 64) + "." + std::to_string(pid / 256 % 256) + "." +
         std::to_string(1 + pid % 250);
}

}  // namespace peargrade
