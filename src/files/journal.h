// The record format of journals and snapshots. Each record carries its length and a checksum over its
// payload, its offset and the number of its file, so that a partly written record or one left over from an
// older file is detected. This module does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peargrade::files {

inline constexpr std::size_t kMaxRecordBytes = std::size_t{16} << 20;

/// Encodes `payload` as the record at `offset` of the file with number `file`.
std::string encodeRecord(const std::string& payload, std::uint64_t file, std::size_t offset);

/// The records of a file up to the first invalid one.
struct DecodedRecords {
  std::vector<std::string> payloads;
  std::size_t validBytes = 0;    // length of the file header and the valid records
  std::size_t droppedBytes = 0;  // bytes after them
};
/// Decodes records up to the first that is incomplete or corrupt. The first record begins at offset `from`,
/// after the file header.
DecodedRecords decodeRecords(const std::string& bytes, std::uint64_t file, std::size_t from);

}  // namespace peargrade::files
