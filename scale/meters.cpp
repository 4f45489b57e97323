#include "scale/meters.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <new>
#include <thread>

namespace {

std::atomic<std::uint64_t> allocated{0};

}  // namespace

// Counted here and done by malloc, whose bytes heapBytes() tells.
void* operator new(std::size_t size) {
  allocated.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size == 0 ? 1 : size)) return memory;
  throw std::bad_alloc();
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  allocated.fetch_add(1, std::memory_order_relaxed);
  return std::malloc(size == 0 ? 1 : size);
}
void operator delete(void* memory, const std::nothrow_t&) noexcept { std::free(memory); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace peargrade::scale {
namespace {

std::int64_t residentOf(const std::string& process) {
  std::ifstream in("/proc/" + process + "/statm");
  std::int64_t size = 0, resident = 0;
  in >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace

double one(const Figures& figures, const std::string& name) {
  const auto it = figures.find(name);
  return it == figures.end() || it->second.empty() ? 0 : it->second.front();
}

Spent spentHere() {
  rusage own{};
  getrusage(RUSAGE_SELF, &own);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return {seconds(own.ru_utime) + seconds(own.ru_stime), residentOf("self")};
}

Spent spentBy(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/schedstat");
  double nanoseconds = 0;
  in >> nanoseconds;
  return {nanoseconds / 1e9, residentOf(std::to_string(process))};
}

std::int64_t heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

std::uint64_t allocations() { return allocated.load(std::memory_order_relaxed); }

Machine machine() {
  Machine m;
  m.cores = static_cast<int>(std::thread::hardware_concurrency());
  m.memoryBytes = static_cast<std::int64_t>(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE);
  rlimit own{};
  if (getrlimit(RLIMIT_NOFILE, &own) == 0) m.descriptors = static_cast<std::int64_t>(own.rlim_cur);
  return m;
}

}  // namespace peargrade::scale
