// Divides the memory that the configuration grants among the buffers that peers can fill.
#pragma once

#include <cstddef>
#include <cstdint>

namespace peargrade::supervisor {

/// Together about a third of the memory granted.
struct MemoryBudget {
  /// Upper bound of the memory that a pending command takes, in bytes.
  static constexpr std::size_t kCommandBytes = 512;

  /// Unfinished messages of clients, in bytes.
  std::size_t clientMessages;
  /// One answer of discovery, in bytes; parsed it takes as much again.
  std::size_t endpointList;
  /// Number of commands pending for the relay.
  std::size_t pendingCommands;

  /// `memoryMb`: `limits.memory_mb` of the configuration, in MiB.
  explicit MemoryBudget(std::int64_t memoryMb) {
    const std::size_t total = static_cast<std::size_t>(memoryMb) << 20;
    clientMessages = total / 16;
    endpointList = total / 16;
    pendingCommands = total / 8 / kCommandBytes;
  }
};

}  // namespace peargrade::supervisor
