#include "files/journal.h"

#include <xxhash.h>

namespace peargrade::files {
namespace {

constexpr std::size_t kRecordHeaderBytes = 12;  // length (4), checksum (8); little-endian

/// Appends `value` as `size` bytes, little-endian.
void appendInteger(std::string& bytes, std::uint64_t value, int size) {
  for (int k = 0; k < size; ++k) bytes += static_cast<char>(value >> (8 * k) & 255);
}
std::uint64_t readInteger(const std::string& bytes, std::size_t offset, int size) {
  std::uint64_t value = 0;
  for (int k = size - 1; k >= 0; --k)
    value = value << 8 | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(k)]);
  return value;
}

/// Covers the payload and, through the seed, the file number, the offset and the length.
std::uint64_t checksum(const char* payload, std::size_t size, std::uint64_t file, std::size_t offset) {
  std::string position;
  appendInteger(position, file, 8);
  appendInteger(position, offset, 8);
  appendInteger(position, size, 8);
  return XXH64(payload, size, XXH64(position.data(), position.size(), 0));
}

}  // namespace

std::string encodeRecord(const std::string& payload, std::uint64_t file, std::size_t offset) {
  std::string bytes;
  bytes.reserve(kRecordHeaderBytes + payload.size());
  appendInteger(bytes, payload.size(), 4);
  appendInteger(bytes, checksum(payload.data(), payload.size(), file, offset), 8);
  return bytes + payload;
}

DecodedRecords decodeRecords(const std::string& bytes, std::uint64_t file, std::size_t from) {
  DecodedRecords records;
  records.validBytes = from;
  while (bytes.size() >= records.validBytes + kRecordHeaderBytes) {
    const std::size_t size = readInteger(bytes, records.validBytes, 4);
    if (size > kMaxRecordBytes || bytes.size() - records.validBytes - kRecordHeaderBytes < size) break;
    if (readInteger(bytes, records.validBytes + 4, 8) !=
        checksum(bytes.data() + records.validBytes + kRecordHeaderBytes, size, file, records.validBytes))
      break;
    records.payloads.push_back(bytes.substr(records.validBytes + kRecordHeaderBytes, size));
    records.validBytes += kRecordHeaderBytes + size;
  }
  records.droppedBytes = bytes.size() > records.validBytes ? bytes.size() - records.validBytes : 0;
  return records;
}

}  // namespace peargrade::files
