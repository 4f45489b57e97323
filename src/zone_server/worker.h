// One thread for work that may block: files and their syncs. Jobs run one after another; what each returns
// runs on the loop. The loop never waits for it, and it touches nothing of the loop's.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "net/net.h"

namespace peargrade::zone_server {

// A thread and its queue of jobs; run() is called from the loop.
class Worker {
 public:
  using Done = std::function<void()>;
  using Job = std::function<Done()>;

  explicit Worker(event_base* base);
  ~Worker();  // finishes the job in hand; what waits is dropped, and no Done is called any more
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void run(Job job);

 private:
  void loop();
  void collect();

  int wake_ = -1;  // an eventfd
  net::EventHandle event_;
  std::mutex mutex_;
  std::condition_variable wanted_;
  std::deque<Job> jobs_;
  std::vector<Done> done_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace peargrade::zone_server
