// A thread for blocking work, such as file access. Jobs run one at a time, in order. The completion that a
// job returns runs on the event loop, which never waits for the thread. Jobs must not access state of the
// loop.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "net/net.h"

namespace peargrade::zone_server {

/// A worker thread with a queue of jobs. run() must be called on the event loop.
class Worker {
 public:
  using Completion = std::function<void()>;
  using Job = std::function<Completion()>;

  explicit Worker(event_base* base);
  /// Waits for the running job. Queued jobs are dropped, and no further completion is called.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void run(Job job);

 private:
  void loop();
  void runCompletions();

  int wakeFd_ = -1;  // an eventfd, written when a completion is ready
  net::EventHandle event_;
  std::mutex mutex_;
  std::condition_variable jobAvailable_;
  std::deque<Job> jobs_;
  std::vector<Completion> completions_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace peargrade::zone_server
