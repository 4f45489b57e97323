// Worker process of the simulated fleet. All members of a role run in a process of their own, so that the
// resource usage of the process is that of the role. The fleet sends commands over a socket, one line each,
// and gets one line in reply.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/net.h"
#include "scale/resource_usage.h"

namespace peargrade::scale {

/// A command from the fleet: a verb and its arguments.
using Command = std::vector<std::string>;

/// What runs in a worker process, on the event loop of that process.
class Worker {
 public:
  virtual ~Worker() = default;
  /// Executes a command. The text of an exception is sent to the fleet, which throws it as a WorkerError.
  virtual Measurements handle(const Command& command) = 0;
  /// Called before each iteration of the event loop.
  virtual void beforeLoopIteration() {}
  /// Whether the next iteration must not block, because there is work to do.
  virtual bool hasPendingWork() const { return false; }
};
using WorkerFactory = std::function<std::unique_ptr<Worker>(event_base*)>;

/// A worker failed to execute a command, or its process has exited.
class WorkerError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The run has exceeded the time limit of its scenario.
class TimeLimitExceeded : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Owner of a worker process, on the side of the fleet. The destructor kills the process.
class WorkerProcess {
 public:
  /// Forks: the caller must have no event loop and no other threads. `deadline` is that of the whole run, on
  /// steadyNow's clock.
  WorkerProcess(std::string name, const WorkerFactory& makeWorker, Micros deadline);
  ~WorkerProcess();
  WorkerProcess(const WorkerProcess&) = delete;
  WorkerProcess& operator=(const WorkerProcess&) = delete;

  /// Sends a command and waits for the reply. Throws WorkerError, or TimeLimitExceeded at the deadline.
  Measurements request(const std::string& command);
  /// The two halves of request(): sending to several workers first lets them work at the same time.
  void sendCommand(const std::string& command);
  Measurements receiveReply();
  /// Throws WorkerError if the process has exited by itself.
  void checkRunning();
  /// Kills the process without warning, like a host that loses power.
  void kill();
  const std::string& name() const { return name_; }
  pid_t process() const { return process_; }

 private:
  std::string name_;
  Micros deadline_;
  pid_t process_ = -1;
  int socket_ = -1;
  std::string input_;
};

}  // namespace peargrade::scale
