/// Length-prefixed frames of the supervisor's address: four bytes of length, most significant first, then as
/// many bytes of body. Source: kit/real/PROTOCOL.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace peargrade::clients {

/// Length of the prefix, in bytes.
inline constexpr std::size_t kFrameHeaderSize = 4;
/// Longest body that the protocol allows, in bytes.
inline constexpr std::size_t kFrameBodyMax = 1 << 20;

/// The frame that carries `body`.
inline std::string encodeFrame(const std::string& body) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(body.size() >> shift & 255));
  return bytes + body;
}

/// Splits a byte stream, received in pieces of any size, into frames. Used by ReportServer for one connection
/// each.
class FrameDecoder {
 public:
  enum class Result {
    Frame,         ///< `body` holds the next frame.
    NeedMoreData,  ///< The next frame is incomplete.
    TooLong,       ///< The announced length exceeds kFrameBodyMax; the stream cannot be decoded further.
  };

  /// Appends bytes as received.
  void append(const char* bytes, std::size_t size) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    buffer_.append(bytes, size);
  }

  /// Extracts the next complete frame into `body`, which is left alone on any other result.
  Result next(std::string& body) {
    if (unread() < kFrameHeaderSize) return Result::NeedMoreData;
    const std::size_t length = announcedLength();
    if (length > kFrameBodyMax) return Result::TooLong;
    if (unread() - kFrameHeaderSize < length) return Result::NeedMoreData;
    body.assign(buffer_, consumed_ + kFrameHeaderSize, length);
    consumed_ += kFrameHeaderSize + length;
    return Result::Frame;
  }

  /// Body length in bytes that the incomplete frame announces; 0 while its header is incomplete.
  std::size_t announcedLength() const {
    if (unread() < kFrameHeaderSize) return 0;
    std::size_t length = 0;
    for (std::size_t offset = 0; offset < kFrameHeaderSize; ++offset)
      length = length << 8 | static_cast<unsigned char>(buffer_[consumed_ + offset]);
    return length;
  }

  /// Whether an incomplete frame is buffered.
  bool hasPartialFrame() const { return unread() > 0; }

  /// Releases the buffer's memory if no partial frame needs it.
  void releaseIfDrained() {
    if (hasPartialFrame()) return;
    std::string().swap(buffer_);
    consumed_ = 0;
  }

  /// Memory that the partial frame holds, in bytes; 0 without one.
  std::size_t bufferedBytes() const { return hasPartialFrame() ? buffer_.capacity() : 0; }

 private:
  std::size_t unread() const { return buffer_.size() - consumed_; }

  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes of buffer_ already returned
};

}  // namespace peargrade::clients
