#include "zone_server/worker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <csignal>
#include <new>
#include <utility>

namespace peargrade::zone_server {

Worker::Worker(event_base* base) : wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (wake_ < 0) throw std::bad_alloc();
  const auto ready = [](evutil_socket_t, short, void* self) { static_cast<Worker*>(self)->collect(); };
  event_.reset(event_new(base, wake_, EV_READ | EV_PERSIST, ready, this));
  if (!event_) throw std::bad_alloc();
  event_add(event_.get(), nullptr);
  // Signals are the loop's.
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
  wanted_.notify_one();
  thread_.join();
  event_.reset();
  close(wake_);
}

void Worker::run(Job job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  wanted_.notify_one();
}

void Worker::loop() {
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    wanted_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    Done done = job();
    lock.lock();
    done_.push_back(std::move(done));
    const std::uint64_t one = 1;
    const auto told = write(wake_, &one, sizeof one);
    static_cast<void>(told);  // full: the loop has not read the last one yet and will see this as well
  }
}

void Worker::collect() {
  std::uint64_t count = 0;
  const auto got = read(wake_, &count, sizeof count);
  static_cast<void>(got);
  std::vector<Done> done;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    done.swap(done_);
  }
  for (const Done& d : done) {
    if (d) d();
  }
}

}  // namespace peargrade::zone_server
