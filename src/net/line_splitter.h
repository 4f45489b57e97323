#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace peargrade::net {

// Cuts a stream of bytes that comes in any pieces into lines, each ended by LF or CRLF.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t longest) : longest_(longest) {}

  void add(const char* bytes, std::size_t size) {
    buffer_.erase(0, done_);
    searched_ -= done_;
    done_ = 0;
    buffer_.append(bytes, size);
  }
  // False: no whole line is there.
  bool next(std::string& line) {
    const std::size_t end = buffer_.find('\n', searched_);
    if (end == std::string::npos) {
      searched_ = buffer_.size();
      return false;
    }
    line.assign(buffer_, done_, end - done_);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    done_ = searched_ = end + 1;
    return true;
  }
  // After next() returned false: the line in the making is longer than allowed.
  bool tooLong() const { return buffer_.size() - done_ > longest_; }

 private:
  std::size_t longest_;
  std::string buffer_;
  std::size_t done_ = 0;      // bytes given out
  std::size_t searched_ = 0;  // bytes that hold no further line end
};

}  // namespace peargrade::net
