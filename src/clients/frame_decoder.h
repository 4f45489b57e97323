/// Length-prefixed frames, the framing of the report server's protocol: a 4-byte big-endian length, followed
/// by a body of that many bytes. Specification: kit/real/PROTOCOL.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace peargrade::clients {

/// Size of the length prefix, in bytes.
inline constexpr std::size_t kFrameHeaderSize = 4;
/// Maximum body length that the protocol allows, in bytes.
inline constexpr std::size_t kFrameBodyMax = 1 << 20;

/// Returns `body` with its length prefix. `body` must not exceed kFrameBodyMax bytes.
inline std::string encodeFrame(const std::string& body) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(body.size() >> shift & 255));
  return bytes + body;
}

/// Splits a byte stream, received in pieces of any size, into frames. The report server has one decoder for
/// each connection.
class FrameDecoder {
 public:
  enum class Result {
    Frame,         ///< `body` holds the next frame.
    NeedMoreData,  ///< The next frame is incomplete.
    TooLong,       ///< The announced length exceeds kFrameBodyMax; the stream cannot be decoded further.
  };

  /// Appends received bytes to the buffer.
  void append(const char* bytes, std::size_t size) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    buffer_.append(bytes, size);
  }

  /// Extracts the body of the next complete frame into `body`; leaves `body` unchanged on any other result.
  Result next(std::string& body) {
    if (unreadBytes() < kFrameHeaderSize) return Result::NeedMoreData;
    const std::size_t length = announcedLength();
    if (length > kFrameBodyMax) return Result::TooLong;
    if (unreadBytes() - kFrameHeaderSize < length) return Result::NeedMoreData;
    body.assign(buffer_, consumed_ + kFrameHeaderSize, length);
    consumed_ += kFrameHeaderSize + length;
    return Result::Frame;
  }

  /// Body length in bytes according to the header of the next frame; 0 while that header is incomplete.
  std::size_t announcedLength() const {
    if (unreadBytes() < kFrameHeaderSize) return 0;
    std::size_t length = 0;
    for (std::size_t offset = 0; offset < kFrameHeaderSize; ++offset)
      length = length << 8 | static_cast<unsigned char>(buffer_[consumed_ + offset]);
    return length;
  }

  /// Whether an incomplete frame is buffered.
  bool hasPartialFrame() const { return unreadBytes() > 0; }

  /// Releases the buffer's memory if it contains no partial frame.
  void releaseIfDrained() {
    if (hasPartialFrame()) return;
    std::string().swap(buffer_);
    consumed_ = 0;
  }

  /// Memory of the partial frame, in bytes; 0 if there is none.
  std::size_t bufferedBytes() const { return hasPartialFrame() ? buffer_.capacity() : 0; }

 private:
  std::size_t unreadBytes() const { return buffer_.size() - consumed_; }

  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes at the start of buffer_ that were already returned
};

}  // namespace peargrade::clients
