#include "zone_server/worker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <csignal>
#include <new>
#include <utility>

namespace peargrade::zone_server {

Worker::Worker(event_base* base) : wakeFd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (wakeFd_ < 0) throw std::bad_alloc();
  const auto ready = [](evutil_socket_t, short, void* self) { static_cast<Worker*>(self)->runCompletions(); };
  event_.reset(event_new(base, wakeFd_, EV_READ | EV_PERSIST, ready, this));
  if (!event_) throw std::bad_alloc();
  event_add(event_.get(), nullptr);
  // Block all signals in the new thread, so that the event loop receives them.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { loop(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Worker::~Worker() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    jobs_.clear();
  }
  jobAvailable_.notify_one();
  thread_.join();
  event_.reset();
  close(wakeFd_);
}

void Worker::run(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  jobAvailable_.notify_one();
}

void Worker::loop() {
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    jobAvailable_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    Completion completion = job();
    lock.lock();
    completions_.push_back(std::move(completion));
    const std::uint64_t one = 1;
    const auto written = write(wakeFd_, &one, sizeof one);
    static_cast<void>(written);  // fails only if the counter is full; the loop is then woken anyway
  }
}

void Worker::runCompletions() {
  std::uint64_t count = 0;
  const auto got = read(wakeFd_, &count, sizeof count);
  static_cast<void>(got);
  std::vector<Completion> completions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    completions.swap(completions_);
  }
  for (const Completion& completion : completions) {
    if (completion) completion();
  }
}

}  // namespace peargrade::zone_server
