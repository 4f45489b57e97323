/// Framing of line-based protocols.
#pragma once

#include <cstddef>
#include <string>

namespace peargrade::net {

/// Splits a byte stream, received in pieces of any size, into lines that end with LF or CRLF.
class LineSplitter {
 public:
  /// `maxLineBytes`: maximum length of a line without its terminator, in bytes; see tooLong().
  explicit LineSplitter(std::size_t maxLineBytes) : maxLineBytes_(maxLineBytes) {}

  /// Appends received bytes to the buffer.
  void add(const char* bytes, std::size_t size) {
    buffer_.erase(0, consumed_);
    searched_ -= consumed_;
    consumed_ = 0;
    buffer_.append(bytes, size);
  }

  /// Extracts the next complete line, without its terminator. Returns false if there is none.
  bool next(std::string& line) {
    const std::size_t end = buffer_.find('\n', searched_);
    if (end == std::string::npos) {
      searched_ = buffer_.size();
      return false;
    }
    line.assign(buffer_, consumed_, end - consumed_);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    consumed_ = end + 1;
    searched_ = consumed_;
    return true;
  }

  /// Whether the incomplete line exceeds the limit. Valid after next() has returned false.
  bool tooLong() const { return buffer_.size() - consumed_ > maxLineBytes_; }

 private:
  std::size_t maxLineBytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes at the start of buffer_ that were already returned
  std::size_t searched_ = 0;  // offset in buffer_ from which to search for the next LF
};

}  // namespace peargrade::net
