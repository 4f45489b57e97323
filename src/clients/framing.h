#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace peargrade::clients {

// Cuts a stream of bytes that comes in any pieces into frames: four bytes of length, most significant first,
// then that many bytes.
class Framing {
 public:
  static constexpr std::size_t kLongest = 1 << 20;

  void add(const char* bytes, std::size_t size) {
    buffer_.erase(0, done_);
    done_ = 0;
    buffer_.append(bytes, size);
  }
  enum class Next { Frame, More, TooLong };
  Next next(std::string& frame) {
    if (buffer_.size() - done_ < 4) return Next::More;
    const std::size_t length = this->length();
    if (length > kLongest) return Next::TooLong;
    if (buffer_.size() - done_ - 4 < length) return Next::More;
    frame.assign(buffer_, done_ + 4, length);
    done_ += 4 + length;
    return Next::Frame;
  }
  // What the message in the making says of its length; 0: not told yet.
  std::size_t length() const {
    if (buffer_.size() - done_ < 4) return 0;
    std::size_t length = 0;
    for (int k = 0; k < 4; ++k) length = length << 8 | static_cast<unsigned char>(buffer_[done_ + k]);
    return length;
  }
  bool partial() const { return done_ < buffer_.size(); }
  // Gives back the memory of a long message once nothing is left of it.
  void compact() {
    if (done_ < buffer_.size()) return;
    std::string().swap(buffer_);
    done_ = 0;
  }
  // Memory that an unfinished message holds.
  std::size_t held() const { return done_ < buffer_.size() ? buffer_.capacity() : 0; }

  static std::string frame(const std::string& body) {
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
      bytes.push_back(static_cast<char>(body.size() >> shift & 255));
    return bytes + body;
  }

 private:
  std::string buffer_;
  std::size_t done_ = 0;
};

}  // namespace peargrade::clients
