#include "scale/resource_usage.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <new>
#include <thread>

namespace {

std::atomic<std::uint64_t> allocationCount{0};

}  // namespace

// Counts the allocations and forwards them to malloc, whose statistics heapBytes() reads.
void* operator new(std::size_t size) {
  allocationCount.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size == 0 ? 1 : size)) return memory;
  throw std::bad_alloc();
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  allocationCount.fetch_add(1, std::memory_order_relaxed);
  return std::malloc(size == 0 ? 1 : size);
}
void operator delete(void* memory, const std::nothrow_t&) noexcept { std::free(memory); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace peargrade::scale {
namespace {

/// `process`: a process id or "self".
std::int64_t residentBytes(const std::string& process) {
  std::ifstream in("/proc/" + process + "/statm");
  std::int64_t totalPages = 0;
  std::int64_t residentPages = 0;
  in >> totalPages >> residentPages;
  return residentPages * sysconf(_SC_PAGESIZE);
}

}  // namespace

double firstValue(const Measurements& measurements, const std::string& name) {
  const auto it = measurements.find(name);
  return it == measurements.end() || it->second.empty() ? 0 : it->second.front();
}

ResourceUsage ownResourceUsage() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return {seconds(usage.ru_utime) + seconds(usage.ru_stime), residentBytes("self")};
}

ResourceUsage processResourceUsage(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/schedstat");
  double nanoseconds = 0;
  in >> nanoseconds;
  return {nanoseconds / 1e9, residentBytes(std::to_string(process))};
}

std::int64_t heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

std::uint64_t allocations() { return allocationCount.load(std::memory_order_relaxed); }

HostInfo hostInfo() {
  HostInfo host;
  host.cores = static_cast<int>(std::thread::hardware_concurrency());
  host.memoryBytes = static_cast<std::int64_t>(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE);
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) host.descriptors = static_cast<std::int64_t>(limit.rlim_cur);
  return host;
}

}  // namespace peargrade::scale
