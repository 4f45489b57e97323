/// Line-based protocols: a byte stream as lines.
#pragma once

#include <cstddef>
#include <string>

namespace peargrade::net {

/// Splits a byte stream, received in pieces of any size, into lines that end with LF or CRLF.
class LineSplitter {
 public:
  /// `longest`: bytes of a line without its end; see tooLong().
  explicit LineSplitter(std::size_t longest) : longest_(longest) {}

  /// Appends bytes as received.
  void add(const char* bytes, std::size_t size) {
    buffer_.erase(0, consumed_);
    searched_ -= consumed_;
    consumed_ = 0;
    buffer_.append(bytes, size);
  }

  /// Extracts the next complete line, without its end; false if there is none.
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

  /// After next() returned false: whether the incomplete line exceeds the limit.
  bool tooLong() const { return buffer_.size() - consumed_ > longest_; }

 private:
  std::size_t longest_;
  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes already returned
  std::size_t searched_ = 0;  // bytes known to hold no further line end
};

}  // namespace peargrade::net
