// Measurements, and what a process holds and consumes as accounted by the operating system.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peargrade::scale {

/// Measured values by name. A name may have several values, for example one for each member of a role.
/// Workers reply with them.
using Measurements = std::map<std::string, std::vector<double>>;

/// First value of a measurement; 0 if there is none.
double firstValue(const Measurements& measurements, const std::string& name);

struct ResourceUsage {
  double cpuSeconds = 0;           // user and system
  std::int64_t residentBytes = 0;  // with shared pages
};
/// Of all threads of this process, from getrusage and /proc/self/statm.
ResourceUsage ownResourceUsage();
/// Of another process, from /proc/PID/schedstat (main thread only, in nanoseconds) and /proc/PID/statm. All
/// zero if the process has exited.
ResourceUsage processResourceUsage(pid_t process);

/// Bytes allocated from the heap of this process (mallinfo2).
std::int64_t heapBytes();

/// Allocations by operator new in this process so far.
std::uint64_t allocations();

struct HostInfo {
  int cores = 1;
  std::int64_t memoryBytes = 0;
  std::int64_t descriptors = 0;  // soft limit of this process
};
HostInfo hostInfo();

}  // namespace peargrade::scale
