// Divides the configured memory limit among the buffers whose size depends on peers.
#pragma once

#include <cstddef>
#include <cstdint>

namespace peargrade::supervisor {

/// Size limits of the buffers. Together with the parsed endpoint list they use up to 13/16 of the memory
/// limit, 5/16 without zones.
struct MemoryBudget {
  /// Upper bound of the memory for one pending command, in bytes.
  static constexpr std::size_t kCommandBytes = 512;

  /// Limit of all incomplete messages of clients together, in bytes.
  std::size_t clientMessages;
  /// Limit of one response of discovery, in bytes. The parsed endpoint list takes the same amount again.
  std::size_t endpointList;
  /// Limit of the commands that are pending for the relay.
  std::size_t pendingCommands;

  /// Limit of what updates may add to all zones together, in bytes.
  std::size_t zones;

  /// `memoryMb` is `limits.memory_mb` of the configuration, in MiB.
  explicit MemoryBudget(std::int64_t memoryMb) {
    const std::size_t total = static_cast<std::size_t>(memoryMb) << 20;
    clientMessages = total / 16;
    endpointList = total / 16;
    pendingCommands = total / 8 / kCommandBytes;
    zones = total / 2;
  }
};

}  // namespace peargrade::supervisor
