// Records one after another in a file, each with its length and a checksum over it, its place and the file's
// own number: what a crash left half written, or what an older file left behind, is seen. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peargrade::files {

inline constexpr std::size_t kRecordMost = std::size_t{16} << 20;

// One record as it is appended at `offset` of file number `file`.
std::string framed(const std::string& payload, std::uint64_t file, std::size_t offset);

// What could be read of a file of frames.
struct Recovered {
  std::vector<std::string> payloads;  // of the longest whole prefix
  std::size_t whole = 0;              // its length in bytes
  std::size_t dropped = 0;            // bytes behind it
};
// Reads frames up to the first that is not whole; `from`: bytes of the head before them.
Recovered recover(const std::string& bytes, std::uint64_t file, std::size_t from);

}  // namespace peargrade::files
