// What a process holds and spends, from the system's own accounts.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peargrade::scale {

// Figures by name; a figure may have several values, one for each member of a role, say. What parts of the
// fleet tell each other and what a run results in.
using Figures = std::map<std::string, std::vector<double>>;

// The only value of a figure; 0 where it is not there.
double one(const Figures& figures, const std::string& name);

struct Spent {
  double cpuSeconds = 0;           // user and system, of all threads
  std::int64_t residentBytes = 0;  // pages in memory, shared ones among them
};
// Of this process, by getrusage and /proc/self/statm.
Spent spentHere();
// Of another process: its main thread's account in nanoseconds (/proc/PID/schedstat), pages from its statm.
// All zero where it has gone.
Spent spentBy(pid_t process);

// Bytes that the heap of this process has given out (mallinfo2); 0 where the allocator does not tell.
std::int64_t heapBytes();

// Allocations by operator new in this process so far.
std::uint64_t allocations();

struct Machine {
  int cores = 1;
  std::int64_t memoryBytes = 0;
  std::int64_t descriptors = 0;  // that a process may hold, as the limit stands
};
Machine machine();

}  // namespace peargrade::scale
